//! What a cost run measures.

use std::path::PathBuf;
use std::time::Duration;

use super::dimension::Dimension;

/// What a cost run measures.
#[derive(Clone, Debug, PartialEq)]
pub struct CostOptions {
    /// What is varied, one after the other.
    pub dimensions: Vec<Dimension>,
    /// Most nodes of a fleet.
    pub most_nodes: usize,
    /// Time over which each point is measured.
    pub window: Duration,
    /// File for the results; none is written where missing.
    pub out: Option<PathBuf>,
}
