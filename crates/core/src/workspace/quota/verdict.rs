//! What homes have to give out of a quota.

use std::time::Duration;

/// Time in which saved or owed requests are brought back to nothing.
const SETTLE: Duration = Duration::from_secs(1);

/// Multiple of the rate that may run besides it while all is saved that can be. Measured demand fluctuates by chance far more
/// than the rate does, so a workspace within its quota, which has most of it saved, is refused nothing; one beyond it stays
/// near zero, where the share follows the rate. A step in place of this slope would let everything run by turns.
const SAVED_GAIN: f64 = 8.0;

/// State of the part of a quota that a home keeps, or of several parts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Requests a second that it gives out.
    pub rate: f64,
    /// Requests that may run besides the rate; negative where more ran than may.
    pub saved: f64,
    /// Requests that can be saved at most.
    pub most_saved: f64,
    /// Requests a second that its entries are asked for.
    pub demand: f64,
}

impl Verdict {
    /// Refuses nothing.
    pub const UNLIMITED: Self = Self {
        rate: 1.0,
        saved: 0.0,
        most_saved: 0.0,
        demand: 0.0,
    };

    /// Several parts as one; `None` for no part.
    ///
    /// The mean of their shares would not do: a share can't fall below nothing, so a home that is owed much would be outweighed
    /// by one that few claims reach.
    pub fn pooled<I>(verdicts: I) -> Option<Self>
    where
        I: IntoIterator<Item = Self>,
    {
        verdicts.into_iter().reduce(|sum, part| Self {
            rate: sum.rate + part.rate,
            saved: sum.saved + part.saved,
            most_saved: sum.most_saved + part.most_saved,
            demand: sum.demand + part.demand,
        })
    }

    /// Share of the requests to admit, from 0 to 1.
    pub fn share(&self) -> f64 {
        let extra = match self.saved >= 0.0 {
            true => self.rate * SAVED_GAIN * self.saved / self.most_saved.max(1.0),
            false => self.saved / SETTLE.as_secs_f64(),
        };
        let allowed = (self.rate + extra).max(0.0);
        (allowed / self.demand.max(f64::MIN_POSITIVE)).min(1.0)
    }
}
