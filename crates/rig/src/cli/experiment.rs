//! Options of `experiment`.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::RigError;
use crate::experiment::{self, ExperimentOptions, Phases, Scenario, User, Variant};

/// Options of `experiment`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExperimentArgs {
    /// telmarino or nilestone (repeatable, both)
    #[bpaf(argument("USER"))]
    user: Vec<User>,
    /// surge-2x, surge-4x, surge-8x, slow-deep, surge-slow-deep, retry-storm, cold-start, domain-gone, platform-down,
    /// lying-health or partition (repeatable)
    #[bpaf(argument("SCENARIO"), some("at least one --scenario is needed"))]
    scenario: Vec<Scenario>,
    /// full, none, static, no-levels, no-deadline-check or no-allowance (repeatable: full, none and static)
    #[bpaf(argument("VARIANT"))]
    variant: Vec<Variant>,
    /// Runs of each variant, in turn
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    repeat: u32,
    /// Factor on the slots; at 1 they are 0.4 of the users' own
    #[bpaf(argument("X"), fallback(1.0), display_fallback)]
    scale: f64,
    /// Seconds of the trigger
    #[bpaf(argument("S"), optional)]
    trigger: Option<usize>,
    /// Seconds after the trigger
    #[bpaf(argument("S"), optional)]
    after: Option<usize>,
    /// Folder for results and plots
    #[bpaf(argument("DIR"), optional)]
    out: Option<PathBuf>,
}

const USUAL: [Variant; 3] = [Variant::Full, Variant::None, Variant::Static];

impl ExperimentArgs {
    fn into_options(self) -> ExperimentOptions {
        let default = Phases::default();
        ExperimentOptions {
            users: or(self.user, &User::ALL),
            scenarios: self.scenario,
            variants: or(self.variant, &USUAL),
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

fn or<T>(given: Vec<T>, usual: &[T]) -> Vec<T>
where
    T: Clone,
{
    match given.is_empty() {
        true => usual.to_vec(),
        false => given,
    }
}

/// Runs the experiments and prints their tables.
pub async fn run(args: ExperimentArgs) -> Result<(), RigError> {
    experiment::run(&args.into_options()).await
}
