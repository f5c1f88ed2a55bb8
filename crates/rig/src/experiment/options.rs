//! Options of an experiment.

use std::path::PathBuf;

use super::phases::Phases;
use super::scenario::Scenario;
use super::user::User;
use super::variant::Variant;

/// Users, scenarios and variants of an experiment, and how each is run.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentOptions {
    /// Users whose fleets are run.
    pub users: Vec<User>,
    /// Scenarios run on each fleet.
    pub scenarios: Vec<Scenario>,
    /// Policy variants; each repeat runs all of them in turn.
    pub variants: Vec<Variant>,
    /// Runs of each variant in each scenario.
    pub repeat: u32,
    /// Factor on the slots of every target, and therefore on the capacity.
    pub scale: f64,
    /// Lengths of the phases of a run.
    pub phases: Phases,
    /// Folder for results and plots; `None` writes no files.
    pub out: Option<PathBuf>,
}
