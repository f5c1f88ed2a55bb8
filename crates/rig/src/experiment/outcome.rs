//! One run with its conditions.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::course::Course;
use super::measures::Measures;
use super::recovery::Second;
use super::scenario::Scenario;
use super::user::User;
use super::variant::Variant;

/// One run of one variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whose fleet.
    pub user: User,
    /// What befell it.
    pub scenario: Scenario,
    /// The variant of the policy.
    pub variant: Variant,
    /// Number of the repeat, from 1.
    pub repeat: u32,
    /// Factor on the slots.
    pub scale: f64,
    /// Physical capacity in whole requests a second.
    pub capacity: f64,
    /// Usual load in requests a second.
    pub normal: f64,
    /// The phases.
    pub course: Course,
    /// The machine's load average over the last minute at the begin of the run, with other processes.
    pub load_average: SmolStr,
    /// What it showed.
    pub measures: Measures,
    /// By second.
    pub seconds: Vec<Second>,
    /// Breaches of invariants that nodes counted.
    pub breaches: Vec<String>,
}
