//! Result of one run and the conditions it ran under.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::measures::Measures;
use super::phases::Phases;
use super::recovery::SecondStats;
use super::scenario::Scenario;
use super::user::User;
use super::variant::Variant;

/// Result of one run of one variant, as written to the results file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// User whose fleet was run.
    pub user: User,
    /// Scenario of the run.
    pub scenario: Scenario,
    /// Policy variant of the run.
    pub variant: Variant,
    /// Number of the repeat, starting at 1.
    pub repeat: u32,
    /// Factor on the slots of every target.
    pub scale: f64,
    /// Physical capacity in complete requests per second.
    pub capacity: f64,
    /// Normal load in requests per second.
    pub normal: f64,
    /// Lengths of the phases.
    #[serde(rename = "course")]
    pub phases: Phases,
    /// One-minute load average of the machine at the start of the run, which includes other processes.
    pub load_average: SmolStr,
    /// Measures of the run.
    pub measures: Measures,
    /// Goodput and latency of each second.
    pub seconds: Vec<SecondStats>,
    /// Invariant breaches that the nodes counted.
    pub breaches: Vec<String>,
}
