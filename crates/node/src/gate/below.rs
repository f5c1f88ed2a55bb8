//! Time that a call in flight spends on calls of its target to further services.

use std::time::{Duration, Instant};

/// Counts the target's own calls of one call in flight and the time in which any of them was under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Below {
    under_way: u32,
    since: Option<Instant>,
    total: Duration,
    failed: bool,
}

impl Below {
    /// A call to a further service began.
    pub fn began(&mut self, now: Instant) {
        self.under_way += 1;
        self.since.get_or_insert(now);
    }

    /// A call to a further service ended.
    pub fn ended(&mut self, succeeded: bool, now: Instant) {
        self.failed |= !succeeded;
        self.under_way = self.under_way.saturating_sub(1);
        if self.under_way == 0 {
            self.total = self.total(now);
            self.since = None;
        }
    }

    /// Whether a failure may come from a further service: a call there failed or is still under way.
    pub fn may_have_failed(&self) -> bool {
        self.failed || self.under_way > 0
    }

    /// Time so far; calls side by side count once.
    pub fn total(&self, now: Instant) -> Duration {
        let running = self.since.map(|since| now.saturating_duration_since(since));
        self.total + running.unwrap_or_default()
    }
}
