//! Hints of a document about the targets of its service.

use std::time::Duration;

/// Capacity hints for each target of a service. A node's settings take precedence, and its own measurements decide.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetHints {
    /// Number of calls that a target processes concurrently.
    pub slots: Option<u32>,
    /// Number of connections that a target accepts.
    pub connections: Option<u32>,
    /// Time from the start of a target until it reaches full capacity.
    pub cold_start: Option<Duration>,
}
