//! When a piece is due that must keep its place in the order.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::proxy::DirectionFaults;

/// Due times with latency and jitter that never go back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    last: Option<Instant>,
}

impl Pacer {
    /// When a piece that arrived at `now` is due.
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

/// A duration of fractional milliseconds.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}
