//! Options of `soak`.

use bpaf::Bpaf;

use crate::error::RigError;
use crate::soak::{self, SoakPlan};

/// Options of `soak`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct SoakOptions {
    /// Seed for the faults and the load
    #[bpaf(argument("N"))]
    seed: u64,
    /// Duration of the load in seconds
    #[bpaf(long("for"), argument("S"), fallback(10))]
    seconds: u64,
    /// Number of machines, each with a node and a target
    #[bpaf(argument("N"), fallback(6))]
    machines: usize,
    /// Number of runs, with consecutive seeds from --seed
    #[bpaf(argument("N"), fallback(1))]
    runs: u64,
    /// Planned work alone: signals, reloads, configurations, targets that leave
    planned: bool,
    /// Print the plan without running it
    plan: bool,
}

/// Runs the plan of each seed and prints one report per line; fails if a guarantee was violated in any run.
pub async fn run(options: SoakOptions) -> Result<(), RigError> {
    let mut failed_seeds = Vec::new();
    for seed in options.seed..options.seed + options.runs {
        let plan = match options.planned {
            true => SoakPlan::planned_of_seed(seed, options.seconds, options.machines),
            false => SoakPlan::of_seed(seed, options.seconds, options.machines),
        };
        if options.plan {
            println!("{}", serde_json::to_string_pretty(&plan)?);
            continue;
        }
        let report = soak::run(&plan).await?;
        println!("{}", serde_json::to_string(&report)?);
        if !report.breaches.is_empty() {
            failed_seeds.push(seed.to_string());
        }
    }
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => Err(RigError::Breach(format!(
            "seeds {}",
            failed_seeds.join(" ")
        ))),
    }
}
