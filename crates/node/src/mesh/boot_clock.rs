//! Monotonic clock that includes the time in which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, Timespec, clock_gettime};

use crate::clock::Clock;

/// Monotonic clock that keeps running while the machine is suspended, based on `CLOCK_BOOTTIME`.
///
/// `CLOCK_MONOTONIC` stops during a suspension, so that a resumed node would run requests whose callers disconnected
/// long ago. That wastes work and duplicates requests that another node has run in the meantime. With the time since
/// boot, which includes the suspension, the deadlines of these requests have expired.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    base: Instant,
    /// Time since boot at `base`.
    base_uptime: Duration,
}

impl BootClock {
    /// Creates a clock that currently agrees with [`Instant::now`].
    pub fn start() -> Self {
        Self {
            base: Instant::now(),
            base_uptime: time_since_boot(),
        }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.base + time_since_boot().saturating_sub(self.base_uptime)
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn time_since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(u64::try_from(tv_sec).unwrap_or(0));
    seconds + Duration::from_nanos(u64::try_from(tv_nsec).unwrap_or(0))
}
