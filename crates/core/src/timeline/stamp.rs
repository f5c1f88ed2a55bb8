//! Timestamps of the hybrid logical clock.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Hybrid logical timestamp: wall time with a counter as the tie-breaker.
///
/// The stamps of a node increase strictly, and a stamp issued after observing another one is greater than that.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter that orders events within the same millisecond.
    pub counter: u16,
}

/// Error of parsing a stamp that does not have the format `MILLISECONDS.COUNTER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a stamp must have the format MILLISECONDS.COUNTER")]
pub struct ParseStampError;

impl Stamp {
    /// Returns the smallest stamp greater than this one.
    pub(super) fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self {
                wall_ms: self.wall_ms.saturating_add(1),
                counter: 0,
            },
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

impl FromStr for Stamp {
    type Err = ParseStampError;

    /// Parses `MILLISECONDS.COUNTER`. The counter is optional and defaults to 0.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (wall, counter) = text.split_once('.').unwrap_or((text, "0"));
        let wall_ms = wall.parse().map_err(|_| ParseStampError)?;
        let counter = counter.parse().map_err(|_| ParseStampError)?;
        Ok(Self { wall_ms, counter })
    }
}
