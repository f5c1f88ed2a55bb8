//! Time that a call in flight spends on calls of its target to further services.

use std::time::{Duration, Instant};

/// Counts the target's own calls of one call in flight and the time in which any of them was under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct DownstreamCalls {
    active: u32,
    active_since: Option<Instant>,
    total: Duration,
    failed: bool,
}

impl DownstreamCalls {
    /// A call to a further service began.
    pub fn started(&mut self, now: Instant) {
        self.active += 1;
        self.active_since.get_or_insert(now);
    }

    /// A call to a further service ended.
    pub fn ended(&mut self, succeeded: bool, now: Instant) {
        self.failed |= !succeeded;
        self.active = self.active.saturating_sub(1);
        if self.active == 0 {
            self.total = self.total(now);
            self.active_since = None;
        }
    }

    /// Whether a failure may come from a further service: a call there failed or is still under way.
    pub fn may_have_failed(&self) -> bool {
        self.failed || self.active > 0
    }

    /// Time so far; calls side by side count once.
    pub fn total(&self, now: Instant) -> Duration {
        let running = self
            .active_since
            .map(|active_since| now.saturating_duration_since(active_since));
        self.total + running.unwrap_or_default()
    }
}
