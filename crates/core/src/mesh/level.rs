//! How overloaded one target is, as a level that rises while requests wait for it.

use std::time::{Duration, Instant};

/// How a level follows the wait of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelConfig {
    /// Mean wait at which the level stays as it is. A short queue keeps the target busy; a longer one only adds to
    /// everyone's time.
    pub target_wait: Duration,
    /// Rise in a second at twice the target wait, and fall in a second without any wait.
    pub gain: f64,
    /// Steepest rise, as a multiple of `gain`.
    pub steepest: f64,
    /// Highest level; at each whole step one more rank is shed wholly.
    pub max: f64,
}

impl Default for LevelConfig {
    fn default() -> Self {
        Self {
            target_wait: Duration::from_millis(25),
            gain: 0.4,
            steepest: 2.5,
            max: 3.0,
        }
    }
}

/// An integral controller over the wait for a target's slots.
#[derive(Clone, Debug)]
pub struct LevelControl {
    cfg: LevelConfig,
    level: f64,
    updated: Instant,
    waits: Duration,
    count: u32,
}

impl LevelControl {
    /// A level of zero.
    pub fn new(cfg: LevelConfig, now: Instant) -> Self {
        Self {
            cfg,
            level: 0.0,
            updated: now,
            waits: Duration::ZERO,
            count: 0,
        }
    }

    /// Takes in how long a request waited for its slot.
    pub fn waited(&mut self, wait: Duration) {
        self.waits += wait;
        self.count += 1;
    }

    /// Moves the level by the waits since the last update; `oldest` is the age of the request that waits longest now.
    pub fn update(&mut self, oldest: Duration, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let mean = match self.count {
            0 => Duration::ZERO,
            count => self.waits / count,
        };
        let wait = mean.max(oldest / 2).as_secs_f64();
        let error = wait / self.cfg.target_wait.as_secs_f64() - 1.0;
        let step = self.cfg.gain * error.clamp(-1.0, self.cfg.steepest) * passed.min(1.0);
        self.level = (self.level + step).clamp(0.0, self.cfg.max);
        self.updated = now;
        self.waits = Duration::ZERO;
        self.count = 0;
    }

    /// The level, from 0 for no overload.
    pub fn level(&self) -> f64 {
        self.level
    }
}
