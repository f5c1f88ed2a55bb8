//! Downstream calls made by the target while it processes a call in flight, and the time spent on them.

use std::time::{Duration, Instant};

/// Counts the active downstream calls of one call in flight and the time during which at least one was active.
#[derive(Clone, Copy, Debug, Default)]
pub struct DownstreamCalls {
    active: u32,
    active_since: Option<Instant>,
    total: Duration,
    failed: bool,
}

impl DownstreamCalls {
    /// Records the start of a downstream call.
    pub fn started(&mut self, now: Instant) {
        self.active += 1;
        self.active_since.get_or_insert(now);
    }

    /// Records the end of a downstream call.
    pub fn ended(&mut self, succeeded: bool, now: Instant) {
        self.failed |= !succeeded;
        self.active = self.active.saturating_sub(1);
        if self.active == 0 {
            self.total = self.total(now);
            self.active_since = None;
        }
    }

    /// Whether a failure of the call may originate downstream: a downstream call has failed or is still active.
    pub fn may_have_failed(&self) -> bool {
        self.failed || self.active > 0
    }

    /// Time with at least one active downstream call up to `now`. Concurrent calls are counted once.
    pub fn total(&self, now: Instant) -> Duration {
        let running = self
            .active_since
            .map(|active_since| now.saturating_duration_since(active_since));
        self.total + running.unwrap_or_default()
    }
}
