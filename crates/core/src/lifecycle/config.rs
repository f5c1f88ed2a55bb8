//! Settings of a graceful shutdown.

use std::time::Duration;

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecycleConfig {
    /// Shortest time between the start of leaving and the end of the process, so that every caller's node hears of it
    /// and calls already under way to this node are still answered.
    pub announce_for: Duration,
    /// Time after the first announcement for which new work is still taken, at most `announce_for`: calls that were sent
    /// before their senders heard of the leaving then cost no retry. Zero refuses new work at once.
    pub accept_for: Duration,
    /// Time between two announcements.
    pub announce_every: Duration,
    /// Time after which work that is still here is reported; at least the longest time limit of a call.
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
