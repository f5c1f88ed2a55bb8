//! Retry-after time returned to refused callers.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::admission::Level;
use crate::class::Class;

/// Settings of [`retry_after`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryAfterConfig {
    /// Minimum retry-after time, before jitter.
    pub min: Duration,
    /// Maximum retry-after time, before jitter.
    pub max: Duration,
    /// Time in which the admission level rises from closed to open after an overload.
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

/// State of the target that refused the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The admission level.
    pub level: Level,
    /// Calls waiting for dispatch.
    pub queued: usize,
    /// Concurrency limit.
    pub limit: u32,
    /// Estimated service time.
    pub service_time: Duration,
}

/// Estimates when a call of this class is likely to be admitted, plus jitter of up to 100 %.
///
/// The estimate is the time to drain the queue plus the time for the level to rise until it admits the whole class.
/// Without jitter, callers refused at the same moment would return at the same moment, and the overload would repeat
/// with that period.
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
    let deficit = level_deficit(target.level, class);
    let rise = cfg
        .level_rise
        .mul_f64(deficit / f64::from(Level::OPEN.position()));
    let expected = drain
        .saturating_add(rise)
        .clamp(cfg.min, cfg.max.max(cfg.min));
    expected.mul_f64(1.0 + rng.random::<f64>())
}

/// Number of positions by which the level must rise to admit the whole class.
fn level_deficit(level: Level, class: Class) -> f64 {
    let whole = Level {
        class: class.min(Class::LOWEST),
        bucket: u8::MAX,
    };
    f64::from(whole.position().saturating_sub(level.position()))
}
