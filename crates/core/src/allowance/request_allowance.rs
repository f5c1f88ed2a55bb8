//! Retry allowance of one request, passed along its calls.

use crate::invariant::Invariant;

/// A hop reserves the allowance divided by this number for itself when it makes a call.
const RESERVE_DIVISOR: u16 = 4;

/// Retries that the holder may still make or grant to its calls.
///
/// The allowance is moved, never copied, so it implements neither `Clone` nor `Copy`. Retries granted to an attempt are
/// deducted from the holder, the unused ones are returned with the answer, and those not returned count as spent. The
/// sum over all holders of a request therefore never increases, at any depth and fan-out, whichever answers are lost.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    left: u16,
}

impl Allowance {
    /// Creates the allowance of a new request, or of a call that was granted `max` retries.
    pub fn new(max: u16) -> Self {
        Self { left: max }
    }

    /// Deducts the retries granted to one attempt and returns their number.
    ///
    /// A quarter, rounded down, is reserved in case the answer is lost together with its retries, or the target makes
    /// another call meanwhile. The rest is granted: most failures happen further downstream and return the unused
    /// retries, and only the hop next to a failure may retry, so retries reserved here can't be used there.
    pub fn grant(&mut self) -> u16 {
        let reserved = self.left / RESERVE_DIVISOR;
        let granted = self.left - reserved;
        self.left = reserved;
        granted
    }

    /// Returns the unused retries of an attempt to the allowance.
    ///
    /// # Errors
    ///
    /// [`Invariant::AllowanceGrew`] if more is returned than was granted. Only the granted number is added then.
    pub fn reclaim(&mut self, granted: u16, left: u16) -> Result<(), Invariant> {
        self.left = self.left.saturating_add(left.min(granted));
        if left > granted {
            Err(Invariant::AllowanceGrew)
        } else {
            Ok(())
        }
    }

    /// Spends one retry. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(1) else {
            return false;
        };
        self.left = left;
        true
    }

    /// Number of retries that this holder has left.
    pub fn left(&self) -> u16 {
        self.left
    }
}
