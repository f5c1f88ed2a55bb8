//! A series of cuts of the limit and its judgement.

/// A series of cuts down to this share of its first limit must shorten service times.
const JUDGED_SHARE: f64 = 0.8;

/// Service time after such a series, as a share of that before, from which the series counts as useless.
const NOT_SHORTENED: f64 = 0.92;

/// Share of failures after such a series, as a share of that before, up to which the series counts as useful.
const FAILED_LESS: f64 = 0.7;

/// A series of cuts for failures is judged at this share of the calls that were in use before.
///
/// It is low because a target that sheds fails most calls until the limit is near its slots.
const JUDGED_SHARE_FAILING: f64 = 0.35;

/// A series of cuts: what stood before the first one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cuts {
    pub(super) limit: f64,
    /// Calls in use when the series began.
    pub(super) used: f64,
    pub(super) seconds: f64,
    pub(super) failed: f64,
    /// Whether failures and not service times are the reason of the cuts.
    pub(super) failing: bool,
}

impl Cuts {
    pub(super) fn judged_share(&self) -> f64 {
        if self.failing {
            JUDGED_SHARE_FAILING
        } else {
            JUDGED_SHARE
        }
    }

    /// Whether what is seen after the cuts is no better than before them.
    ///
    /// A target that sheds calls above its slots fails hardly any below them; failures that stay are of another cause.
    pub(super) fn is_useless(&self, current: &Self) -> bool {
        if self.failing {
            return current.failed > self.failed * FAILED_LESS;
        }
        current.seconds >= self.seconds * NOT_SHORTENED
    }
}
