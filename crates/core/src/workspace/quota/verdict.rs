//! Verdicts, by which homes report to entries how much of a quota is available.

use std::time::Duration;

/// Time in which debt is paid back.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Multiple of the rate that may be admitted on top of it while savings are at their maximum. Measured demand
/// fluctuates far more than the rate. A workspace within its quota has most of its maximum saved and is refused
/// nothing; for one beyond its quota, savings stay near zero, where the share follows the rate. A step instead of this
/// slope would alternate between admitting everything and refusing.
const SAVED_GAIN: f64 = 8.0;

/// State of the part of a quota that a home enforces, or the sum of several parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Requests per second that the home grants.
    pub rate: f64,
    /// Requests that may be admitted on top of the rate; negative if too many have been admitted.
    pub saved: f64,
    /// Maximum of `saved`.
    pub max_saved: f64,
    /// Requests per second that entries receive and report to this home.
    pub demand: f64,
}

impl Verdict {
    /// Verdict that refuses nothing.
    pub const UNLIMITED: Self = Self {
        rate: 1.0,
        saved: 0.0,
        max_saved: 0.0,
        demand: 0.0,
    };

    /// Adds up several parts; returns `None` if there are none.
    ///
    /// The mean of their shares would be wrong: a share can't be negative, so a home with a large debt would be
    /// outweighed by one that receives few claims.
    pub fn sum<I>(verdicts: I) -> Option<Self>
    where
        I: IntoIterator<Item = Self>,
    {
        verdicts.into_iter().reduce(|sum, part| Self {
            rate: sum.rate + part.rate,
            saved: sum.saved + part.saved,
            max_saved: sum.max_saved + part.max_saved,
            demand: sum.demand + part.demand,
        })
    }

    /// Returns the share of the requests to admit, from 0 to 1.
    pub fn share(&self) -> f64 {
        let extra = match self.saved >= 0.0 {
            true => self.rate * SAVED_GAIN * self.saved / self.max_saved.max(1.0),
            false => self.saved / SETTLE_TIME.as_secs_f64(),
        };
        let allowed = (self.rate + extra).max(0.0);
        (allowed / self.demand.max(f64::MIN_POSITIVE)).min(1.0)
    }
}
