//! Recovery time of a run.

use std::ops::Range;

use serde::{Deserialize, Serialize};

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Whole answers.
    pub whole: f64,
    /// Latency that 99 in 100 of them stay within, in milliseconds.
    pub p99_ms: f64,
}

/// Recovery after a trigger.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Recovery {
    /// Seconds from the end of the trigger.
    After {
        /// Whole seconds; 0 where the load was never disturbed beyond the trigger.
        seconds: usize,
    },
    /// Not within the run.
    NotSeen,
}

/// Seconds that must be well in a row.
const WINDOW: usize = 3;

/// Share of the goodput before from which the goodput is back.
const GOODPUT_SHARE: f64 = 0.95;

/// Multiple of the p99 before up to which the p99 is back.
const P99_FACTOR: f64 = 2.0;

impl Recovery {
    /// Finds the first window of seconds at or after `end` that is as good as those of `before`.
    ///
    /// Goodput is compared as the mean over the window, because it varies by chance from second to second; the median of
    /// its p99 must be within twice the median of those before.
    pub fn of(seconds: &[Second], before: Range<usize>, end: usize) -> Self {
        let Some(usual) = seconds.get(before) else {
            return Self::NotSeen;
        };
        let after = seconds.get(end..).unwrap_or_default();
        let goodput = mean_whole(usual) * GOODPUT_SHARE;
        let p99_ms = median_p99(usual) * P99_FACTOR;
        let found = after
            .windows(WINDOW)
            .position(|window| mean_whole(window) >= goodput && median_p99(window) <= p99_ms);
        match found {
            Some(seconds) => Self::After { seconds },
            None => Self::NotSeen,
        }
    }

    /// Seconds, or the length of the time that was seen where it did not come.
    pub fn seconds_within(self, seen: usize) -> f64 {
        match self {
            Self::After { seconds } => seconds as f64,
            Self::NotSeen => seen as f64,
        }
    }
}

fn mean_whole(seconds: &[Second]) -> f64 {
    let whole: f64 = seconds.iter().map(|second| second.whole).sum();
    whole / seconds.len().max(1) as f64
}

fn median_p99(seconds: &[Second]) -> f64 {
    let mut p99: Vec<f64> = seconds.iter().map(|second| second.p99_ms).collect();
    p99.sort_by(f64::total_cmp);
    p99.get(p99.len() / 2).copied().unwrap_or(0.0)
}
