//! Options of `experiment`.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::RigError;
use crate::experiment::{self, ExperimentOptions, Phases, Scenario, User, Variant};

/// Options of `experiment`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExperimentArgs {
    /// User whose fleet is modelled: telmarino or nilestone (repeatable; default: both)
    #[bpaf(argument("USER"))]
    user: Vec<User>,
    /// Scenario: surge-2x, surge-4x, surge-8x, slow-deep, surge-slow-deep, retry-storm, cold-start, domain-gone,
    /// platform-down, lying-health or partition (repeatable)
    #[bpaf(argument("SCENARIO"), some("at least one --scenario is needed"))]
    scenario: Vec<Scenario>,
    /// Policy variant: full, none, static, no-levels, no-deadline-check or no-allowance (repeatable; default: full,
    /// none and static)
    #[bpaf(argument("VARIANT"))]
    variant: Vec<Variant>,
    /// Number of runs of each variant; the variants take turns
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    repeat: u32,
    /// Multiplier for the number of slots; 1 stands for 0.4 of the slots of the user's real fleet
    #[bpaf(argument("X"), fallback(1.0), display_fallback)]
    scale: f64,
    /// Duration of the trigger in seconds
    #[bpaf(argument("S"), optional)]
    trigger: Option<usize>,
    /// Duration of the observation after the trigger in seconds
    #[bpaf(argument("S"), optional)]
    after: Option<usize>,
    /// Output directory for results and plots
    #[bpaf(argument("DIR"), optional)]
    out: Option<PathBuf>,
}

/// Variants that run if none is given.
const DEFAULT_VARIANTS: [Variant; 3] = [Variant::Full, Variant::None, Variant::Static];

impl ExperimentArgs {
    fn into_options(self) -> ExperimentOptions {
        let default = Phases::default();
        ExperimentOptions {
            users: or_default(self.user, &User::ALL),
            scenarios: self.scenario,
            variants: or_default(self.variant, &DEFAULT_VARIANTS),
            repeat: self.repeat,
            scale: self.scale,
            phases: Phases {
                trigger: self.trigger.unwrap_or(default.trigger),
                after: self.after.unwrap_or(default.after),
                ..default
            },
            out: self.out,
        }
    }
}

/// Returns `given`, or `default` if it is empty.
fn or_default<T>(given: Vec<T>, default: &[T]) -> Vec<T>
where
    T: Clone,
{
    match given.is_empty() {
        true => default.to_vec(),
        false => given,
    }
}

/// Runs the experiments and prints their tables.
pub async fn run(args: ExperimentArgs) -> Result<(), RigError> {
    experiment::run(&args.into_options()).await
}
