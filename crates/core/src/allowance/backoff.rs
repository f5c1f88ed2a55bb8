//! Time between two attempts of one hop.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Most doublings of the shortest delay.
const MAX_DOUBLINGS: u16 = 16;

/// Delays that double with each attempt, with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Backoff {
    /// Upper end of the first delay.
    pub first: Duration,
    /// Upper end of any delay.
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
    /// Delay before the retry with this number, from 0, drawn evenly between zero and its upper end.
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
