//! Clock of the process, passed to all code that reads the time.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, for deadlines and ages.
    fn now(&self) -> Instant;

    /// Returns the wall clock time, only for timestamps shown to users.
    fn system_time(&self) -> SystemTime;
}

/// Clock shared by all tasks of the process.
pub type SharedClock = Arc<dyn Clock>;

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the microseconds from `since` to `now`, or zero if `since` is later.
pub fn elapsed_micros(now: Instant, since: Instant) -> u64 {
    now.saturating_duration_since(since).as_micros() as u64
}
