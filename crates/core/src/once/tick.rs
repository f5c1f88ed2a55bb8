//! Monotonic time of an incarnation.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Milliseconds since the start of an incarnation, measured by its monotonic clock.
///
/// Ticks of different incarnations are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns the tick at `now` of an incarnation that started at `started`, or zero if `now` is earlier.
    pub fn at(started: Instant, now: Instant) -> Self {
        Self(millis(now.saturating_duration_since(started)))
    }

    /// Returns the tick `span` later, rounded down to milliseconds.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Returns the time from `earlier` to this tick, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
