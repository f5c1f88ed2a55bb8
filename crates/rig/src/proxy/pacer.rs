//! Computes the due times of chunks and datagrams that must stay in order.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::proxy::DirectionFaults;

/// Adds latency and jitter to arrival times and keeps the resulting due times monotonic.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    last: Option<Instant>,
}

impl Pacer {
    /// Returns the due time of a chunk or datagram that arrived at `now`.
    pub fn due<R>(&mut self, now: Instant, faults: &DirectionFaults, rng: &mut R) -> Instant
    where
        R: Rng,
    {
        let jitter_ms = rng.random::<f64>() * faults.jitter_ms;
        let due = now + millis(faults.latency_ms + jitter_ms);
        let due = self.last.map_or(due, |last| due.max(last));
        self.last = Some(due);
        due
    }
}

/// Converts fractional milliseconds to a duration.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}
