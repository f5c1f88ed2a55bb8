//! Measurements between two adjustments of the limit.

use std::time::{Duration, Instant};

/// Maximum number of service times kept per window; further calls are only counted.
const MAX_SAMPLES: usize = 256;

/// Upper bound of the accepted calls, relative to the fewest that remained at the target after an early failure.
const MAX_ACCEPTED_FACTOR: f64 = 1.15;

/// Measurements of the target since the limit was last adjusted.
#[derive(Clone, Debug)]
pub(super) struct Window {
    started_at: Instant,
    samples: Vec<Sample>,
    finished: u32,
    failed: u32,
    peak: u32,
    /// Sum over early failures of the calls that remained at the target.
    remaining: u64,
    /// Fewest calls that remained at the target after an early failure.
    min_remaining: u32,
}

/// Service time of one call.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Time from start to end.
    whole: Duration,
    /// `whole` without the time that the target waited for downstream services.
    own: Duration,
}

/// Statistics of a closed window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WindowSummary {
    /// Service times of calls that started within the window.
    pub(super) times: Option<ServiceTimes>,
    /// Number of calls that failed early.
    pub(super) failures: u32,
    /// Early failures as a share of finished calls.
    pub(super) failed: f64,
    /// Number of finished calls.
    pub(super) finished: u32,
    /// Peak number of slots in use.
    pub(super) peak: u32,
    /// Estimated number of concurrent calls that the target accepts, from the calls that remained after early failures.
    pub(super) accepted: f64,
}

/// Service time statistics of a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServiceTimes {
    /// Median service time, including downstream waits.
    pub(super) median: Duration,
    /// Mean service time in seconds, without downstream waits.
    pub(super) mean: f64,
    /// Standard error of the mean in seconds.
    pub(super) error: f64,
}

impl Window {
    pub(super) fn new(in_flight: u32, now: Instant) -> Self {
        Self {
            started_at: now,
            samples: Vec::new(),
            finished: 0,
            failed: 0,
            peak: in_flight,
            remaining: 0,
            min_remaining: 0,
        }
    }

    pub(super) fn record_start(&mut self, in_flight: u32) {
        self.peak = self.peak.max(in_flight);
    }

    /// Counts a finished call.
    pub(super) fn record_finish(&mut self) {
        self.finished += 1;
    }

    /// Counts an early failure after which `remaining` other calls are at the target.
    pub(super) fn record_early_failure(&mut self, remaining: u32) {
        self.failed += 1;
        self.remaining += u64::from(remaining);
        self.min_remaining = if self.failed == 1 {
            remaining
        } else {
            self.min_remaining.min(remaining)
        };
    }

    /// Adds the service time of a call that started within the window.
    ///
    /// Calls that started earlier ran under a previous limit and are ignored. Attributing their service times to the
    /// latest adjustment would make the limit oscillate with a period of twice the service time.
    ///
    /// Time spent waiting for downstream services is separated. A queue at a downstream service lengthens the calls of
    /// all services upstream of it. If that were taken for local queueing, their limits would be cut to the minimum one
    /// after the other, and idle services would shed calls of the highest class.
    pub(super) fn record_service_time(
        &mut self,
        started: Instant,
        downstream_wait: Duration,
        now: Instant,
    ) {
        if started >= self.started_at && self.samples.len() < MAX_SAMPLES {
            let whole = now.saturating_duration_since(started);
            let own = whole.saturating_sub(downstream_wait);
            self.samples.push(Sample { whole, own });
        }
    }

    /// If the window lasted at least `min` and has enough samples, returns its statistics and starts the next one.
    pub(super) fn close(
        &mut self,
        min: Duration,
        samples: usize,
        in_flight: u32,
        now: Instant,
    ) -> Option<WindowSummary> {
        let short = now.saturating_duration_since(self.started_at) < min;
        let sparse = self.samples.len().max(self.failed as usize) < samples.max(1);
        if short || sparse {
            return None;
        }
        let summary = WindowSummary {
            times: service_times(&mut self.samples),
            failures: self.failed,
            finished: self.finished,
            failed: f64::from(self.failed) / f64::from(self.finished.max(1)),
            peak: self.peak,
            accepted: self.accepted(),
        };
        self.samples.clear();
        *self = Self {
            samples: std::mem::take(&mut self.samples),
            ..Self::new(in_flight, now)
        };
        Some(summary)
    }

    /// Estimates the number of concurrent calls that the target accepts.
    ///
    /// The mean of the remaining calls is too high, as it includes calls that the target is about to fail. The minimum
    /// is too low, as it misses slots that were just released.
    fn accepted(&self) -> f64 {
        let mean = self.remaining as f64 / f64::from(self.failed.max(1));
        mean.min(f64::from(self.min_remaining) * MAX_ACCEPTED_FACTOR)
    }
}

fn service_times(samples: &mut [Sample]) -> Option<ServiceTimes> {
    if samples.is_empty() {
        return None;
    }
    let count = samples.len() as f64;
    let own = |sample: &Sample| sample.own.as_secs_f64();
    let mean = samples.iter().map(own).sum::<f64>() / count;
    let square = |sample: &Sample| (own(sample) - mean).powi(2);
    let variance = samples.iter().map(square).sum::<f64>() / (count - 1.0).max(1.0);
    let middle = samples.len() / 2;
    let (_, median, _) = samples.select_nth_unstable_by_key(middle, |sample| sample.whole);
    Some(ServiceTimes {
        median: median.whole,
        mean,
        error: (variance / count).sqrt(),
    })
}
