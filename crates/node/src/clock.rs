//! The clock of a process, passed in wherever time is read.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

/// Source of time at the edge of the process.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and ages.
    fn now(&self) -> Instant;

    /// Time of day, only for stamps that people read.
    fn system_time(&self) -> SystemTime;
}

/// A clock shared by all tasks of a process.
pub type SharedClock = Arc<dyn Clock>;

/// The clock of the operating system.
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

/// Microseconds from `since` to `now`, zero where `since` is later.
pub fn elapsed_micros(now: Instant, since: Instant) -> u64 {
    now.saturating_duration_since(since).as_micros() as u64
}
