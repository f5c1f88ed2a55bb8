//! What a latency run does.

use std::path::PathBuf;

/// What a latency run does.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyOptions {
    /// Seconds of each run.
    pub seconds: f64,
    /// Runs.
    pub repeat: u32,
    /// File for the results; none is written where missing.
    pub out: Option<PathBuf>,
}
