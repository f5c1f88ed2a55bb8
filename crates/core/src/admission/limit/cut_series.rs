//! Series of limit cuts and the evaluation of their effect.

/// A series is evaluated once the limit is at this share of the calls in use when it began.
const EVALUATION_SHARE: f64 = 0.8;

/// Ratio of the service time after a series to that before, from which the series is considered ineffective.
const INEFFECTIVE_TIME_RATIO: f64 = 0.92;

/// Ratio of the failure share after a series to that before, up to which the series is considered effective.
const EFFECTIVE_FAILURE_RATIO: f64 = 0.7;

/// [`EVALUATION_SHARE`] for a series of cuts because of failures.
///
/// It is low because a target that sheds load fails most calls until the limit is close to its number of slots.
const FAILURE_EVALUATION_SHARE: f64 = 0.35;

/// State before the first cut of a series.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutSeries {
    pub(super) limit: f64,
    /// Slots in use when the series began.
    pub(super) used: f64,
    pub(super) seconds: f64,
    pub(super) failed: f64,
    /// Whether the cuts were caused by failures rather than service times.
    pub(super) by_failures: bool,
}

impl CutSeries {
    pub(super) fn evaluation_share(&self) -> f64 {
        if self.by_failures {
            FAILURE_EVALUATION_SHARE
        } else {
            EVALUATION_SHARE
        }
    }

    /// Returns whether the cuts have not improved the service time or the failure share.
    ///
    /// A target that sheds calls above its slots fails hardly any below them, so failures that persist have another
    /// cause.
    pub(super) fn is_ineffective(&self, current: &Self) -> bool {
        if self.by_failures {
            return current.failed > self.failed * EFFECTIVE_FAILURE_RATIO;
        }
        current.seconds >= self.seconds * INEFFECTIVE_TIME_RATIO
    }
}
