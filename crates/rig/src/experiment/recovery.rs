//! Recovery time after the trigger of a run.

use std::ops::Range;

use serde::{Deserialize, Serialize};

/// Goodput and latency of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondStats {
    /// Complete responses in this second.
    pub whole: f64,
    /// 99th percentile of their latency, in milliseconds.
    pub p99_ms: f64,
}

/// Whether and when goodput and latency returned to their level before the trigger.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Recovery {
    /// Recovered this long after the end of the trigger.
    After {
        /// Whole seconds; 0 if the load was not disturbed beyond the trigger.
        seconds: usize,
    },
    /// No recovery within the run.
    NotSeen,
}

/// Number of consecutive seconds that are compared with the baseline.
const WINDOW_SECONDS: usize = 3;

/// Share of the baseline goodput at which the goodput counts as recovered.
const GOODPUT_SHARE: f64 = 0.95;

/// Multiple of the baseline p99 up to which the p99 counts as recovered.
const P99_FACTOR: f64 = 2.0;

impl Recovery {
    /// Finds the first window at or after `end` that reaches the baseline of the seconds in `before`.
    ///
    /// Goodput is compared as the mean over the window, because it varies randomly from second to second. The median
    /// p99 of the window must be at most twice the median p99 of the baseline.
    pub fn of(seconds: &[SecondStats], before: Range<usize>, end: usize) -> Self {
        let Some(baseline) = seconds.get(before) else {
            return Self::NotSeen;
        };
        let after = seconds.get(end..).unwrap_or_default();
        let min_goodput = mean_goodput(baseline) * GOODPUT_SHARE;
        let max_p99_ms = median_p99(baseline) * P99_FACTOR;
        let found = after.windows(WINDOW_SECONDS).position(|window| {
            mean_goodput(window) >= min_goodput && median_p99(window) <= max_p99_ms
        });
        match found {
            Some(seconds) => Self::After { seconds },
            None => Self::NotSeen,
        }
    }

    /// Recovery time in seconds, or `observed`, the length of the time observed, if there was no recovery.
    pub fn seconds_or(self, observed: usize) -> f64 {
        match self {
            Self::After { seconds } => seconds as f64,
            Self::NotSeen => observed as f64,
        }
    }
}

fn mean_goodput(seconds: &[SecondStats]) -> f64 {
    let whole: f64 = seconds.iter().map(|second| second.whole).sum();
    whole / seconds.len().max(1) as f64
}

fn median_p99(seconds: &[SecondStats]) -> f64 {
    let mut p99: Vec<f64> = seconds.iter().map(|second| second.p99_ms).collect();
    p99.sort_by(f64::total_cmp);
    p99.get(p99.len() / 2).copied().unwrap_or(0.0)
}
