//! Admission levels reported by downstream services.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Level;
use crate::class::Class;
use crate::collections::Map;
use crate::id::ServiceName;

/// Configuration of [`DownstreamLevels`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DownstreamLevelsConfig {
    /// Time for which a reported level stays unchanged.
    pub hold: Duration,
    /// Time after `hold` in which a level rises from the floor to open.
    pub rise: Duration,
    /// Weight of a new report in the moving average, above 0 and at most 1.
    pub weight: f64,
}

impl Default for DownstreamLevelsConfig {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(1),
            rise: Duration::from_secs(4),
            weight: 0.25,
        }
    }
}

/// Moving average of the admission levels reported by each service.
///
/// Each instance of a service has its own level. The levels are averaged so that one overloaded instance out of four
/// sheds about a quarter of the calls here rather than all of them.
#[derive(Clone, Debug, Default)]
pub struct DownstreamLevels {
    cfg: DownstreamLevelsConfig,
    levels: Map<ServiceName, AveragedLevel>,
}

#[derive(Clone, Copy, Debug)]
struct AveragedLevel {
    /// Average of [`Level::position`].
    position: f64,
    updated: Instant,
}

impl DownstreamLevels {
    /// Creates an empty set, in which every service is open.
    pub fn new(cfg: DownstreamLevelsConfig) -> Self {
        Self {
            cfg,
            levels: Map::default(),
        }
    }

    /// Records the level reported with an answer of this service.
    pub fn record(&mut self, service: &ServiceName, level: Level, now: Instant) {
        let reported = f64::from(level.position());
        let Some(average) = self.levels.get_mut(service) else {
            if level < Level::OPEN {
                self.levels.insert(
                    service.clone(),
                    AveragedLevel {
                        position: reported,
                        updated: now,
                    },
                );
            }
            return;
        };
        let aged = self.cfg.aged_position(*average, now);
        let position = aged + (reported - aged) * self.cfg.weight.clamp(f64::EPSILON, 1.0);
        if position >= f64::from(Level::OPEN.position()) - 0.5 {
            self.levels.remove(service);
            return;
        }
        *average = AveragedLevel {
            position,
            updated: now,
        };
    }

    /// Returns whether a call to this service is likely to be admitted downstream.
    pub fn admits(&self, service: &ServiceName, class: Class, bucket: u8, now: Instant) -> bool {
        self.level(service, now).admits(class, bucket)
    }

    /// Returns the current level of a service; open without a report or after all reports have aged out.
    pub fn level(&self, service: &ServiceName, now: Instant) -> Level {
        let Some(average) = self.levels.get(service) else {
            return Level::OPEN;
        };
        Level::from_position(self.cfg.aged_position(*average, now).round() as u16)
    }

    /// Returns the lowest level of all services, to be reported upstream together with the local level.
    pub fn lowest(&self, now: Instant) -> Level {
        self.levels
            .keys()
            .map(|service| self.level(service, now))
            .min()
            .unwrap_or(Level::OPEN)
    }

    /// Removes levels that have aged out.
    pub fn expire(&mut self, now: Instant) {
        let cfg = &self.cfg;
        let open = f64::from(Level::OPEN.position());
        self.levels
            .retain(|_, average| cfg.aged_position(*average, now) < open);
    }
}

impl DownstreamLevelsConfig {
    /// Returns the position of a level after ageing.
    ///
    /// Without ageing, an entry that sheds all calls to a service receives no further answers and would keep shedding
    /// while the service is idle. The gradual rise prevents all calls from returning at once.
    fn aged_position(&self, average: AveragedLevel, now: Instant) -> f64 {
        let open = f64::from(Level::OPEN.position());
        let age = now
            .saturating_duration_since(average.updated)
            .saturating_sub(self.hold);
        if age.is_zero() {
            return average.position;
        }
        let risen = age.as_secs_f64() / self.rise.as_secs_f64().max(f64::EPSILON);
        (average.position + risen * open).min(open)
    }
}
