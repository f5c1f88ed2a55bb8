//! How overloaded one target is, as a level that says which ranks its callers should shed.

use std::time::{Duration, Instant};

/// How a level follows load and wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelConfig {
    /// Load at which the level stays as it is: work that arrives over work that the slots can do.
    pub target_load: f64,
    /// Rise in a second for each unit of load above the target. A change at an entry reaches a deep target about a second
    /// later, when runs that were admitted before have made their calls; a steeper rise would overshoot.
    pub gain: f64,
    /// Fall in a second for each unit of load below the target.
    pub fall_gain: f64,
    /// Time over which arrivals are counted.
    pub load_window: Duration,
    /// Wait that adds nothing: a short queue keeps the slots busy.
    pub free_wait: Duration,
    /// Wait beyond it that adds one to the level, at once and for as long as it lasts.
    pub unit_wait: Duration,
    /// Most that waiting adds. It answers a sudden surge before the load has been averaged, and must not alone shed more
    /// than one rank.
    pub most_by_wait: f64,
    /// Highest level; at each whole step one more rank is shed wholly.
    pub max: f64,
}

impl Default for LevelConfig {
    fn default() -> Self {
        Self {
            target_load: 0.86,
            gain: 0.5,
            fall_gain: 0.8,
            load_window: Duration::from_millis(500),
            free_wait: Duration::from_millis(25),
            unit_wait: Duration::from_millis(400),
            most_by_wait: 0.7,
            max: 2.5,
        }
    }
}

/// Highest load that counts: beyond it the measure says little more, and a steep rise would overshoot.
const MOST_LOAD: f64 = 2.0;

/// Above this level each step sheds a more urgent rank, and the rise is slower by this factor: what the ranks below still
/// have under way goes on arriving for a while, and is no reason to shed more urgent ones.
const URGENT_SLOWER: f64 = 0.35;

/// Follows the load of one target.
#[derive(Clone, Debug)]
pub struct LevelControl {
    cfg: LevelConfig,
    /// The part that follows the load over time.
    base: f64,
    /// The part that follows the wait at once.
    by_wait: f64,
    load: f64,
    updated: Instant,
    waits: Duration,
    granted: u32,
    arrived: u32,
}

impl LevelControl {
    /// A level of zero.
    pub fn new(cfg: LevelConfig, now: Instant) -> Self {
        Self {
            cfg,
            base: 0.0,
            by_wait: 0.0,
            load: 0.0,
            updated: now,
            waits: Duration::ZERO,
            granted: 0,
            arrived: 0,
        }
    }

    /// Takes in how the level follows load and wait from now on; the level itself stays.
    pub fn set_config(&mut self, cfg: LevelConfig) {
        self.cfg = cfg;
    }

    /// Takes in that a request has arrived.
    pub fn arrived(&mut self) {
        self.arrived += 1;
    }

    /// Takes in how long a request waited for its slot.
    pub fn waited(&mut self, wait: Duration) {
        self.waits += wait;
        self.granted += 1;
    }

    /// Moves the level by what has come since the last update.
    ///
    /// `oldest` is the age of the request that waits longest now, `rate` the requests a second that the slots can do.
    pub fn update(&mut self, oldest: Duration, rate: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let newest = f64::from(self.arrived) / passed / rate.max(f64::MIN_POSITIVE);
        let weight = (passed / self.cfg.load_window.as_secs_f64()).min(1.0);
        self.load += weight * (newest - self.load);
        self.move_base(passed.min(1.0));
        self.by_wait = self.wait_part(oldest);
        self.updated = now;
        self.waits = Duration::ZERO;
        self.granted = 0;
        self.arrived = 0;
    }

    /// The level, from 0 for no overload.
    pub fn level(&self) -> f64 {
        (self.base + self.by_wait).min(self.cfg.max)
    }

    /// Work that arrives over work that can be done.
    pub fn load(&self) -> f64 {
        self.load
    }

    fn move_base(&mut self, passed: f64) {
        let excess = self.load.min(MOST_LOAD) - self.cfg.target_load;
        let gain = match excess > 0.0 {
            true if self.base >= 1.0 => self.cfg.gain * URGENT_SLOWER,
            true => self.cfg.gain,
            false => self.cfg.fall_gain,
        };
        self.base = (self.base + gain * excess * passed).clamp(0.0, self.cfg.max);
    }

    fn wait_part(&self, oldest: Duration) -> f64 {
        let mean = match self.granted {
            0 => Duration::ZERO,
            granted => self.waits / granted,
        };
        let wait = mean.max(oldest / 2).saturating_sub(self.cfg.free_wait);
        let units = wait.as_secs_f64() / self.cfg.unit_wait.as_secs_f64();
        units.min(self.cfg.most_by_wait)
    }
}
