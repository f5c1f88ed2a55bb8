//! What a team says about the targets of its service.

use std::time::Duration;

/// Hints about each target of the service; the settings of a node come first, own observation decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetHints {
    /// Calls that a target works on at a time.
    pub slots: Option<u32>,
    /// Connections that a target accepts.
    pub connections: Option<u32>,
    /// Time that a target takes from its start to full speed.
    pub cold_start: Option<Duration>,
}
