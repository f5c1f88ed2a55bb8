//! Estimator of the service time.

use std::time::{Duration, Instant};

/// Weight of the latest window's median in the moving average.
const MEDIAN_WEIGHT: f64 = 0.5;

/// Maximum number of times that an estimate is halved without new samples.
const MAX_HALVINGS: u32 = 16;

/// Exponential moving average of window medians, which decays while no call finishes.
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

    /// Adds the median of a window to the average.
    pub(super) fn update(&mut self, median: Duration, now: Instant) {
        let median = median.as_secs_f64();
        let previous = if self.seconds == 0.0 {
            median
        } else {
            self.seconds
        };
        self.seconds = previous + (median - previous) * MEDIAN_WEIGHT;
        self.updated = now;
    }

    /// Returns the estimated service time, or zero before the first sample.
    ///
    /// The estimate is halved once per half-life without new samples. Otherwise, after a period of slow calls, it could
    /// exceed every deadline: all calls would be refused before they start, none would finish to correct the estimate,
    /// and an idle target would receive no calls.
    pub(super) fn get(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.updated).as_nanos();
        let halvings = age / self.half_life.as_nanos().max(1);
        let halvings = u32::try_from(halvings)
            .unwrap_or(u32::MAX)
            .min(MAX_HALVINGS);
        Duration::from_secs_f64(self.seconds / f64::from(1u32 << halvings))
    }
}
