//! Estimate of the service time of the next call.

use std::time::{Duration, Instant};

/// Weight of the newest window's median.
const WEIGHT: f64 = 0.5;

/// Most halvings of an estimate without new samples.
const MAX_HALVINGS: u32 = 16;

/// Moving median of service times, which fades while no call finishes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEstimate {
    seconds: f64,
    updated: Instant,
    half_life: Duration,
}

impl ServiceEstimate {
    pub(super) fn new(half_life: Duration, now: Instant) -> Self {
        Self {
            seconds: 0.0,
            updated: now,
            half_life,
        }
    }

    /// Takes in the median of a window.
    pub(super) fn update(&mut self, median: Duration, now: Instant) {
        let median = median.as_secs_f64();
        let before = if self.seconds == 0.0 {
            median
        } else {
            self.seconds
        };
        self.seconds = before + (median - before) * WEIGHT;
        self.updated = now;
    }

    /// The service time to reckon with; zero where nothing is known.
    ///
    /// A target that was slow for a while would keep an estimate above every deadline: each call is refused before it
    /// starts, none finishes, and the estimate never falls. It would show as refusals by deadline at an idle target.
    /// Halving it while nothing finishes lets calls through again.
    pub(super) fn get(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.updated).as_nanos();
        let halvings = age / self.half_life.as_nanos().max(1);
        let halvings = u32::try_from(halvings)
            .unwrap_or(u32::MAX)
            .min(MAX_HALVINGS);
        Duration::from_secs_f64(self.seconds / f64::from(1u32 << halvings))
    }
}
