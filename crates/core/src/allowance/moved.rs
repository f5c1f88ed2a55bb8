//! The retry allowance of one request, moved along its calls.

use crate::invariant::Invariant;

/// The share of an allowance that stays with the hop: one in this many.
const KEPT_ONE_IN: u16 = 4;

/// Retries that the holder may still make or give away.
///
/// The allowance is moved, never copied, so it has neither `Clone` nor `Copy`. What is given with an attempt leaves the
/// holder; what was left comes back with the answer; what doesn't come back counts as spent. So the sum over all holders
/// of a request only falls, at any depth and fan-out, whichever answers are lost.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    left: u16,
}

impl Allowance {
    /// The allowance of a new request, or of a call that came with `max` retries.
    pub fn new(max: u16) -> Self {
        Self { left: max }
    }

    /// Takes out the part for one attempt and returns it.
    ///
    /// A quarter stays here, rounded down, in case the answer of the attempt is lost together with its part, or the target
    /// makes another call meanwhile. The rest goes along: most failures happen further down and bring back what was left,
    /// and only the hop next to a failure may retry, so a retry kept here is of no use there.
    pub fn grant(&mut self) -> u16 {
        let kept = self.left / KEPT_ONE_IN;
        let granted = self.left - kept;
        self.left = kept;
        granted
    }

    /// Takes back what an attempt left of its part.
    ///
    /// # Errors
    ///
    /// [`Invariant::AllowanceGrew`] where more comes back than was granted; only the granted part is taken back then.
    pub fn give_back(&mut self, granted: u16, left: u16) -> Result<(), Invariant> {
        self.left = self.left.saturating_add(left.min(granted));
        if left > granted {
            Err(Invariant::AllowanceGrew)
        } else {
            Ok(())
        }
    }

    /// Spends one retry; false where none is left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(1) else {
            return false;
        };
        self.left = left;
        true
    }

    /// Retries left with this holder.
    pub fn left(&self) -> u16 {
        self.left
    }
}
