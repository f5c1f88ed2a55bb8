//! Graceful shutdown settings.

use std::time::Duration;

/// Durations of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecycleConfig {
    /// Minimum time between the start of leaving and the end of the process, so that the nodes of all callers receive
    /// the announcement and calls already in transit to this node are still answered.
    pub announce_for: Duration,
    /// Time after the first announcement during which new work is still accepted, at most `announce_for`, so that calls
    /// sent before their senders received the announcement cost no retry. Zero refuses new work immediately.
    pub accept_for: Duration,
    /// Interval between announcements.
    pub announce_every: Duration,
    /// Time after which unfinished work is reported; should be at least the longest deadline of a call.
    pub drain_limit: Duration,
}

impl Default for LifecycleConfig {
    fn default() -> Self {
        Self {
            announce_for: Duration::from_secs(3),
            accept_for: Duration::ZERO,
            announce_every: Duration::from_millis(500),
            drain_limit: Duration::from_secs(60),
        }
    }
}
