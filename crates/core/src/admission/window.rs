//! Samples gathered between two moves of the limit.

use std::time::{Duration, Instant};

/// Service times kept of one window; further ones are counted only.
const MAX_SAMPLES: usize = 256;

/// Calls that a target takes, over the fewest that it worked on when it failed another one.
const LEAST_LEFT_FACTOR: f64 = 1.15;

/// What was seen of the target since the limit last moved.
#[derive(Clone, Debug)]
pub(super) struct Window {
    begun: Instant,
    samples: Vec<Duration>,
    finished: u32,
    failed: u32,
    peak: u32,
    /// Sum of the calls that were left at the target when one failed early.
    left: u64,
    /// The least of them.
    least_left: u32,
}

/// A closed window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Seen {
    /// Service times of calls that started within the window.
    pub(super) times: Option<Times>,
    /// Number of calls that failed early.
    pub(super) failures: u32,
    /// Share of calls that failed early.
    pub(super) failed: f64,
    /// Number of calls that ended.
    pub(super) finished: u32,
    /// Most calls in flight at once.
    pub(super) peak: u32,
    /// Calls that the target worked on when it failed another one early.
    pub(super) accepted: f64,
}

/// Service times of a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Times {
    pub(super) median: Duration,
    /// Mean in seconds.
    pub(super) mean: f64,
    /// Standard error of the mean in seconds.
    pub(super) error: f64,
}

impl Window {
    pub(super) fn new(in_flight: u32, now: Instant) -> Self {
        Self {
            begun: now,
            samples: Vec::new(),
            finished: 0,
            failed: 0,
            peak: in_flight,
            left: 0,
            least_left: 0,
        }
    }

    pub(super) fn started(&mut self, in_flight: u32) {
        self.peak = self.peak.max(in_flight);
    }

    /// Counts the end of a call.
    pub(super) fn finished(&mut self) {
        self.finished += 1;
    }

    /// Counts a call that failed early while others were left at the target.
    pub(super) fn failed_early(&mut self, left: u32) {
        self.failed += 1;
        self.left += u64::from(left);
        self.least_left = if self.failed == 1 {
            left
        } else {
            self.least_left.min(left)
        };
    }

    /// Takes in the service time of a call.
    ///
    /// Calls that started before the window ran under an older limit: their service times would be taken for the effect
    /// of the newest move and the limit would overshoot, seen as swings that last twice the service time.
    pub(super) fn sample(&mut self, started: Instant, now: Instant) {
        if started >= self.begun && self.samples.len() < MAX_SAMPLES {
            self.samples.push(now.saturating_duration_since(started));
        }
    }

    /// The closed window, once it lasted `min` and has enough samples; the next one begins.
    pub(super) fn close(
        &mut self,
        min: Duration,
        samples: usize,
        in_flight: u32,
        now: Instant,
    ) -> Option<Seen> {
        let short = now.saturating_duration_since(self.begun) < min;
        let sparse = self.samples.len().max(self.failed as usize) < samples.max(1);
        if short || sparse {
            return None;
        }
        let seen = Seen {
            times: times(&mut self.samples),
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
        Some(seen)
    }

    /// The mean counts calls which the target is about to fail as well, the least one slots that were just given back;
    /// the truth is between.
    fn accepted(&self) -> f64 {
        let mean = self.left as f64 / f64::from(self.failed.max(1));
        mean.min(f64::from(self.least_left) * LEAST_LEFT_FACTOR)
    }
}

fn times(samples: &mut [Duration]) -> Option<Times> {
    if samples.is_empty() {
        return None;
    }
    let count = samples.len() as f64;
    let mean = samples.iter().map(Duration::as_secs_f64).sum::<f64>() / count;
    let square = |time: &Duration| (time.as_secs_f64() - mean).powi(2);
    let variance = samples.iter().map(square).sum::<f64>() / (count - 1.0).max(1.0);
    let middle = samples.len() / 2;
    let (_, median, _) = samples.select_nth_unstable(middle);
    Some(Times {
        median: *median,
        mean,
        error: (variance / count).sqrt(),
    })
}
