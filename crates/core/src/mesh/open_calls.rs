//! Time that a run spends waiting for calls of its own.

use std::time::{Duration, Instant};

/// Counts the calls that a run waits for, and adds up the time during which there is at least one.
///
/// A run holds its slot while it waits. That time is no work of its target: if the calls are slow, it grows at every
/// service above them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCalls {
    open: u32,
    since: Option<Instant>,
    waited: Duration,
}

impl OpenCalls {
    /// Records that a call was sent.
    pub fn begin(&mut self, now: Instant) {
        if self.open == 0 {
            self.since = Some(now);
        }
        self.open += 1;
    }

    /// Records that a call has ended.
    pub fn end(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0
            && let Some(since) = self.since.take()
        {
            self.waited += now.saturating_duration_since(since);
        }
    }

    /// Time during which there has been an open call.
    pub fn waited(&self, now: Instant) -> Duration {
        let current = self.since.map(|since| now.saturating_duration_since(since));
        self.waited + current.unwrap_or_default()
    }
}
