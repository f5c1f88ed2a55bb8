//! Options of a latency run.

use std::path::PathBuf;

/// Length and number of the latency runs, and where to write the results.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyOptions {
    /// Length of each run in seconds.
    pub seconds: f64,
    /// Number of runs.
    pub repeat: u32,
    /// File for the results; `None` writes no file.
    pub out: Option<PathBuf>,
}
