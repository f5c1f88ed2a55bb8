//! What an experiment runs.

use std::path::PathBuf;

use super::course::Course;
use super::scenario::Scenario;
use super::user::User;
use super::variant::Variant;

/// What an experiment runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentOptions {
    /// Whose fleets.
    pub users: Vec<User>,
    /// What befalls them.
    pub scenarios: Vec<Scenario>,
    /// Variants, run in turn.
    pub variants: Vec<Variant>,
    /// Runs of each.
    pub repeat: u32,
    /// Factor on the slots.
    pub scale: f64,
    /// The phases.
    pub course: Course,
    /// Folder for results and plots; nothing is written where missing.
    pub out: Option<PathBuf>,
}
