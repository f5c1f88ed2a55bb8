//! Counts reported by a stand-in target.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Response to `GET /counts`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Calls that reached the target.
    pub arrived: u64,
    /// Calls that got a slot and started to run.
    pub started: u64,
    /// Runs that succeeded.
    pub finished: u64,
    /// Runs that were answered with an error.
    pub failed: u64,
    /// Runs whose caller closed the connection.
    pub cancelled: u64,
    /// Calls that were refused because the target was draining or its queue was full.
    pub refused: u64,
    /// Runs currently in progress.
    pub in_flight: usize,
    /// Calls currently waiting for a slot.
    pub queued: usize,
    /// Highest number of concurrent runs.
    pub max_in_flight: usize,
    /// Total work of all ended runs, in milliseconds.
    pub work_ms: f64,
    /// Total work of runs that failed or were cancelled, in milliseconds.
    pub wasted_ms: f64,
    /// Counts by `coltsfootport-class`; calls without the header are counted under the empty name.
    pub classes: BTreeMap<SmolStr, ClassCounts>,
    /// Runs by `x-rig-key`.
    pub keys: BTreeMap<SmolStr, KeyRuns>,
    /// Runs whose key was not recorded because the table was full.
    pub keys_dropped: u64,
}

/// Counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Calls that reached the target.
    pub arrived: u64,
    /// Runs that started.
    pub started: u64,
    /// Runs that succeeded.
    pub finished: u64,
}

/// Runs of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// Runs that started.
    pub started: u64,
    /// Runs that succeeded.
    pub finished: u64,
    /// Runs that were answered with an error.
    pub failed: u64,
    /// Runs whose caller closed the connection.
    pub cancelled: u64,
}

impl TargetCounts {
    /// Returns the highest number of runs started for a single key.
    pub fn max_runs_per_key(&self) -> u64 {
        self.keys
            .values()
            .map(|runs| runs.started)
            .max()
            .unwrap_or(0)
    }
}
