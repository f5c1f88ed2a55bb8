//! A stamp of a hybrid logical clock.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A point on the time line: wall time refined by a counter.
///
/// Stamps of one node grow strictly, and a stamp given after hearing of another is above it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders events within one millisecond.
    pub counter: u16,
}

/// A text is not a stamp of the form `MILLISECONDS.COUNTER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a stamp has the form MILLISECONDS.COUNTER")]
pub struct ParseStampError;

impl Stamp {
    /// The next stamp above this one.
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

    /// Reads `MILLISECONDS.COUNTER`; the counter may be left out and is then 0.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (wall, counter) = text.split_once('.').unwrap_or((text, "0"));
        let wall_ms = wall.parse().map_err(|_| ParseStampError)?;
        let counter = counter.parse().map_err(|_| ParseStampError)?;
        Ok(Self { wall_ms, counter })
    }
}
