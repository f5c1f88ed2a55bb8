//! A clock that counts the time in which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, Timespec, clock_gettime};

use crate::clock::Clock;

/// Monotonic time that goes on while the machine is suspended.
///
/// After a suspension the system's steady clock says that no time has passed. A host would then run requests whose callers
/// left long ago, seen as work for nobody and as repeats of what another host has run meanwhile. Time since boot includes
/// the suspension, so their deadlines are over.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    base: Instant,
    boot: Duration,
}

impl BootClock {
    /// A clock that agrees with the steady clock now.
    pub fn start() -> Self {
        Self {
            base: Instant::now(),
            boot: since_boot(),
        }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.base + since_boot().saturating_sub(self.boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(u64::try_from(tv_sec).unwrap_or(0));
    seconds + Duration::from_nanos(u64::try_from(tv_nsec).unwrap_or(0))
}
