//! Detection of periods in which this process did not run.

use std::time::{Duration, Instant};

/// Detects pauses of the process from the time between regular checks.
#[derive(Clone, Copy, Debug)]
pub(super) struct PauseDetector {
    /// Longest time between two checks that does not count as a pause.
    pub(super) threshold: Duration,
    last_check: Instant,
}

impl PauseDetector {
    /// Creates a detector with `now` as its first check.
    pub(super) fn new(threshold: Duration, now: Instant) -> Self {
        Self {
            threshold,
            last_check: now,
        }
    }

    /// Returns whether more than `threshold` has passed since the last check, and makes `now` the last check.
    pub(super) fn has_paused(&mut self, now: Instant) -> bool {
        let last_check = std::mem::replace(&mut self.last_check, now);
        now.saturating_duration_since(last_check) > self.threshold
    }
}
