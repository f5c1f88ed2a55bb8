//! Time as one incarnation counts it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Milliseconds since the start of an incarnation, by its own monotonic clock.
///
/// Ticks of two incarnations can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// The tick at `now` of an incarnation which started at `started`, zero if `now` lies before.
    pub fn at(started: Instant, now: Instant) -> Self {
        Self(millis(now.saturating_duration_since(started)))
    }

    /// The tick `span` later, rounded down.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Time from `earlier` to this tick, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
