//! How many requests a second come of a workspace.

use std::time::{Duration, Instant};

/// Requests and the time in which they came, both forgotten with the same window.
///
/// Their quotient is right from the first claim on; over a fixed window a home that has just started would take a surge for calm
/// until the window has passed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    requests: f64,
    seconds: f64,
    at: Instant,
}

impl Demand {
    /// A demand that is taken to have been so high for a while, as far as nothing else is known.
    pub(super) fn new(per_second: f64, known: Duration, now: Instant) -> Self {
        let seconds = known.as_secs_f64();
        Self {
            requests: per_second * seconds,
            seconds,
            at: now,
        }
    }

    /// So many requests came up to now; what is older than the window fades.
    pub(super) fn came(&mut self, requests: f64, window: Duration, now: Instant) {
        let window = window.as_secs_f64();
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let kept = (-passed / window).exp();
        self.requests = self.requests * kept + requests;
        self.seconds = self.seconds * kept + window * (1.0 - kept);
    }

    /// Requests a second.
    pub(super) fn per_second(&self) -> f64 {
        self.requests / self.seconds.max(f64::MIN_POSITIVE)
    }
}
