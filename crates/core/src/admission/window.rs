//! Samples gathered between two moves of the limit.

use std::time::{Duration, Instant};

/// Service times kept of one window; further ones are counted only.
const MAX_SAMPLES: usize = 256;

/// What was seen of the target since the limit last moved.
#[derive(Clone, Debug)]
pub(super) struct Window {
    begun: Instant,
    samples: Vec<Duration>,
    finished: u32,
    failed: u32,
    peak: u32,
}

/// A closed window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Seen {
    /// Service times of calls that started within the window.
    pub(super) times: Option<Times>,
    /// Share of failed calls.
    pub(super) failed: f64,
    /// Most calls in flight at once.
    pub(super) peak: u32,
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
        }
    }

    pub(super) fn started(&mut self, in_flight: u32) {
        self.peak = self.peak.max(in_flight);
    }

    /// Counts the end of a call.
    pub(super) fn finished(&mut self, failed: bool) {
        self.finished += 1;
        self.failed += u32::from(failed);
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
            failed: f64::from(self.failed) / f64::from(self.finished.max(1)),
            peak: self.peak,
        };
        self.samples.clear();
        *self = Self {
            samples: std::mem::take(&mut self.samples),
            ..Self::new(in_flight, now)
        };
        Some(seen)
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
