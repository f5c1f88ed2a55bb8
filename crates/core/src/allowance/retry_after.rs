//! When a refused caller is told to come back.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::admission::Level;
use crate::class::Class;

/// Settings of [`retry_after`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryAfterConfig {
    /// Shortest time told.
    pub min: Duration,
    /// Longest time told, before jitter.
    pub max: Duration,
    /// Time in which a level rises from closed to open once the surge is over.
    pub level_rise: Duration,
}

impl Default for RetryAfterConfig {
    fn default() -> Self {
        Self {
            min: Duration::from_millis(100),
            max: Duration::from_secs(10),
            level_rise: Duration::from_secs(2),
        }
    }
}

/// What is known of the target that refused the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The admission level.
    pub level: Level,
    /// Calls that wait.
    pub queued: usize,
    /// Calls that may run at once.
    pub limit: u32,
    /// Estimated service time.
    pub service_time: Duration,
}

/// Time after which a new try of this class has a fair chance, jittered upwards by up to once its length.
///
/// Honest: the time in which the queue drains, plus the time in which the level could rise to admit the whole class
/// again. Jittered: callers refused in the same instant would otherwise come back in the same instant, and the surge
/// repeats at the period told.
pub fn retry_after<R>(
    cfg: &RetryAfterConfig,
    target: &TargetState,
    class: Class,
    rng: &mut R,
) -> Duration
where
    R: Rng + ?Sized,
{
    let turns = target.queued as f64 / f64::from(target.limit.max(1));
    let drain = target.service_time.mul_f64(turns);
    let missing = positions_missing(target.level, class);
    let rise = cfg
        .level_rise
        .mul_f64(missing / f64::from(Level::OPEN.position()));
    let expected = drain
        .saturating_add(rise)
        .clamp(cfg.min, cfg.max.max(cfg.min));
    expected.mul_f64(1.0 + rng.random::<f64>())
}

/// How far the level is below admitting the whole class.
fn positions_missing(level: Level, class: Class) -> f64 {
    let whole = Level {
        class: class.min(Class::LOWEST),
        bucket: u8::MAX,
    };
    f64::from(whole.position().saturating_sub(level.position()))
}
