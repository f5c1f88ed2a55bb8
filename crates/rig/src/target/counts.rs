//! What a stand-in target counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Answer of `GET /counts`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Calls that reached the target.
    pub arrived: u64,
    /// Calls that got a slot and began to run.
    pub started: u64,
    /// Runs that ended with success.
    pub finished: u64,
    /// Runs that ended with an error answer.
    pub failed: u64,
    /// Runs whose caller closed the connection.
    pub cancelled: u64,
    /// Calls that were refused because the target drains or its queue is full.
    pub refused: u64,
    /// Runs at this moment.
    pub in_flight: usize,
    /// Calls that wait for a slot at this moment.
    pub queued: usize,
    /// Most runs at one moment.
    pub max_in_flight: usize,
    /// Milliseconds of work of all ended runs.
    pub work_ms: f64,
    /// Milliseconds of work of runs that failed or were cancelled.
    pub wasted_ms: f64,
    /// Counts by `coltsfootport-class`, under the empty name where the header was missing.
    pub classes: BTreeMap<SmolStr, ClassCounts>,
    /// Runs by `x-rig-key`.
    pub keys: BTreeMap<SmolStr, KeyRuns>,
    /// Calls with a key that was not recorded because the table was full.
    pub keys_dropped: u64,
}

/// Counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Calls that reached the target.
    pub arrived: u64,
    /// Runs that began.
    pub started: u64,
    /// Runs that ended with success.
    pub finished: u64,
}

/// Runs of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// Runs that began.
    pub started: u64,
    /// Runs that ended with success.
    pub finished: u64,
    /// Runs that ended with an error answer.
    pub failed: u64,
    /// Runs whose caller closed the connection.
    pub cancelled: u64,
}

impl TargetCounts {
    /// Most runs that began under one key.
    pub fn max_runs_per_key(&self) -> u64 {
        self.keys
            .values()
            .map(|runs| runs.started)
            .max()
            .unwrap_or(0)
    }
}
