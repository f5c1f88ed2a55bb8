//! Options of `chaos`.

use bpaf::Bpaf;

use crate::chaos::{self, ChaosPlan};
use crate::error::RigError;

/// Options of `chaos`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ChaosOptions {
    /// Seed for the faults and the load
    #[bpaf(argument("N"))]
    seed: u64,
    /// Total duration of the load in seconds
    #[bpaf(argument("S"), fallback(8.0))]
    seconds: f64,
    /// Number of rounds of equal duration; the guarantees are checked after each
    #[bpaf(argument("N"), fallback(2))]
    rounds: u32,
    /// Print the plan without running it
    plan: bool,
}

/// Runs the plan of a seed and prints the report; if a guarantee was violated, prints the plan and fails with the seed.
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
    let breaches = report.breaches.join("\n");
    Err(RigError::Breach(format!("seed {}:\n{breaches}", plan.seed)))
}
