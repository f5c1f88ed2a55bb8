//! Options of a cost run.

use std::path::PathBuf;
use std::time::Duration;

use super::dimension::Dimension;

/// Dimensions that a cost run varies, and how each is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct CostOptions {
    /// Dimensions to vary, one after the other.
    pub dimensions: Vec<Dimension>,
    /// Maximum number of nodes in a fleet.
    pub most_nodes: usize,
    /// Duration of the measurement of each point.
    pub window: Duration,
    /// File for the results; `None` writes no file.
    pub out: Option<PathBuf>,
}
