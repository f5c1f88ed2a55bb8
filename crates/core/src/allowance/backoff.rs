//! Delay between two attempts of one hop.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Maximum number of times the first delay is doubled.
const MAX_DOUBLINGS: u16 = 16;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub first: Duration,
    /// Upper bound of all delays.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(5),
            max: Duration::from_millis(100),
        }
    }
}

impl Backoff {
    /// Returns the delay before retry number `retry`, counted from 0: uniformly random up to its upper bound.
    pub fn delay<R>(&self, retry: u16, rng: &mut R) -> Duration
    where
        R: Rng + ?Sized,
    {
        let upper = self
            .first
            .saturating_mul(1 << retry.min(MAX_DOUBLINGS))
            .min(self.max);
        upper.mul_f64(rng.random::<f64>())
    }
}
