//! Options of `chaos`.

use bpaf::Bpaf;

use crate::chaos::{self, ChaosPlan};
use crate::error::RigError;

/// Options of `chaos`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ChaosOptions {
    /// Seed that the faults and the load follow from
    #[bpaf(argument("N"))]
    seed: u64,
    /// Length of the load in seconds, over all rounds
    #[bpaf(argument("S"), fallback(8.0))]
    seconds: f64,
    /// Rounds of equal length; the promises are checked after each
    #[bpaf(argument("N"), fallback(2))]
    rounds: u32,
    /// Print the plan and run nothing
    plan: bool,
}

/// Runs the plan of a seed and prints the report; fails with seed and plan where a promise was broken.
pub async fn run(options: ChaosOptions) -> Result<(), RigError> {
    let plan = ChaosPlan::of_seed(options.seed, options.seconds, options.rounds);
    if options.plan {
        println!("{}", serde_json::to_string_pretty(&plan)?);
        return Ok(());
    }
    let report = chaos::run(&plan).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    if report.breaches.is_empty() {
        return Ok(());
    }
    eprintln!("{}", serde_json::to_string_pretty(&plan)?);
    let found = report.breaches.join("\n");
    Err(RigError::Breach(format!("seed {}:\n{found}", plan.seed)))
}
