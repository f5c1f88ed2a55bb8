//! Options of `soak`.

use bpaf::Bpaf;

use crate::error::RigError;
use crate::soak::{self, SoakPlan};

/// Options of `soak`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct SoakOptions {
    /// Seed that the strikes and the load follow from
    #[bpaf(argument("N"))]
    seed: u64,
    /// Length of the load in seconds
    #[bpaf(long("for"), argument("S"), fallback(10))]
    seconds: u64,
    /// Machines, each with a node and a target
    #[bpaf(argument("N"), fallback(6))]
    machines: usize,
    /// Runs of this seed and the ones after it, one after the other
    #[bpaf(argument("N"), fallback(1))]
    runs: u64,
    /// Print the plan and run nothing
    plan: bool,
}

/// Runs the plan of each seed and prints a report a line; fails where a promise was broken in any of them.
pub async fn run(options: SoakOptions) -> Result<(), RigError> {
    let mut broken = Vec::new();
    for seed in options.seed..options.seed + options.runs {
        let plan = SoakPlan::of_seed(seed, options.seconds, options.machines);
        if options.plan {
            println!("{}", serde_json::to_string_pretty(&plan)?);
            continue;
        }
        let report = soak::run(&plan).await?;
        println!("{}", serde_json::to_string(&report)?);
        if !report.breaches.is_empty() {
            broken.push(seed.to_string());
        }
    }
    match broken.is_empty() {
        true => Ok(()),
        false => Err(RigError::Breach(format!("seeds {}", broken.join(" ")))),
    }
}
