//! Notices that this process did not run for a while.

use std::time::{Duration, Instant};

/// Finds pauses of a task that looks often.
#[derive(Clone, Copy, Debug)]
pub(super) struct PauseDetector {
    /// Longest time between two looks that is not a pause.
    pub(super) longest: Duration,
    looked: Instant,
}

impl PauseDetector {
    /// A detector whose first look is now.
    pub(super) fn new(longest: Duration, now: Instant) -> Self {
        Self {
            longest,
            looked: now,
        }
    }

    /// Whether there was a pause since the last look.
    pub(super) fn has_paused(&mut self, now: Instant) -> bool {
        let looked = std::mem::replace(&mut self.looked, now);
        now.saturating_duration_since(looked) > self.longest
    }
}
