//! Measures the request rate of a workspace.

use std::time::{Duration, Instant};

/// Estimates the request rate as the quotient of two sums that decay exponentially: requests, and the time in which
/// they arrived.
///
/// The quotient is accurate from the first claim on. With a fixed window, a home that has just started would
/// underestimate a surge until the window has passed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    requests: f64,
    seconds: f64,
    updated: Instant,
}

impl Demand {
    /// Creates an estimate as if requests had arrived at the given rate for the time `span`.
    pub(super) fn new(per_second: f64, span: Duration, now: Instant) -> Self {
        let seconds = span.as_secs_f64();
        Self {
            requests: per_second * seconds,
            seconds,
            updated: now,
        }
    }

    /// Adds requests that arrived up to now; older ones decay with the window as time constant.
    pub(super) fn record(&mut self, requests: f64, window: Duration, now: Instant) {
        let window = window.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let decay = (-elapsed / window).exp();
        self.requests = self.requests * decay + requests;
        self.seconds = self.seconds * decay + window * (1.0 - decay);
    }

    /// Returns the estimated requests per second.
    pub(super) fn per_second(&self) -> f64 {
        self.requests / self.seconds.max(f64::MIN_POSITIVE)
    }
}
