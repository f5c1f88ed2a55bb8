//! Levels last heard from services further down.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Level;
use crate::class::Class;
use crate::collections::Map;
use crate::id::ServiceName;

/// Settings of [`DownstreamLevels`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DownstreamLevelsConfig {
    /// Time for which a heard level stands unchanged.
    pub hold: Duration,
    /// Time after `hold` over which a level rises to open from the floor.
    pub rise: Duration,
    /// Weight of a newly heard level against the older ones, above 0 and up to 1.
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

/// The last heard level of each service.
///
/// A service's instances have levels of their own. The board keeps their moving average, so that one overloaded instance
/// out of four sheds about a quarter of the calls here and not all of them.
#[derive(Clone, Debug, Default)]
pub struct DownstreamLevels {
    cfg: DownstreamLevelsConfig,
    heard: Map<ServiceName, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    position: f64,
    at: Instant,
}

impl DownstreamLevels {
    /// An empty board: every service is open.
    pub fn new(cfg: DownstreamLevelsConfig) -> Self {
        Self {
            cfg,
            heard: Map::default(),
        }
    }

    /// Takes in the level that an answer of this service carried.
    pub fn record(&mut self, service: &ServiceName, level: Level, now: Instant) {
        let heard = f64::from(level.position());
        let Some(before) = self.heard.get_mut(service) else {
            if level < Level::OPEN {
                self.heard.insert(
                    service.clone(),
                    Heard {
                        position: heard,
                        at: now,
                    },
                );
            }
            return;
        };
        let aged = self.cfg.aged(*before, now);
        let position = aged + (heard - aged) * self.cfg.weight.clamp(f64::EPSILON, 1.0);
        if position >= f64::from(Level::OPEN.position()) - 0.5 {
            self.heard.remove(service);
            return;
        }
        *before = Heard { position, at: now };
    }

    /// Whether a call to this service is likely to be admitted below.
    pub fn admits(&self, service: &ServiceName, class: Class, bucket: u8, now: Instant) -> bool {
        self.level(service, now).admits(class, bucket)
    }

    /// The level of a service as known now; open where nothing was heard or all of it has aged out.
    pub fn level(&self, service: &ServiceName, now: Instant) -> Level {
        let Some(heard) = self.heard.get(service) else {
            return Level::OPEN;
        };
        Level::from_position(self.cfg.aged(*heard, now).round() as u16)
    }

    /// The lowest level of all services, to be told upwards together with the own level.
    pub fn lowest(&self, now: Instant) -> Level {
        self.heard
            .keys()
            .map(|service| self.level(service, now))
            .min()
            .unwrap_or(Level::OPEN)
    }

    /// Forgets levels that have aged out.
    pub fn expire(&mut self, now: Instant) {
        let cfg = &self.cfg;
        let open = f64::from(Level::OPEN.position());
        self.heard.retain(|_, heard| cfg.aged(*heard, now) < open);
    }
}

impl DownstreamLevelsConfig {
    /// The position after ageing.
    ///
    /// Without ageing an entry that sheds all calls of a service hears no answer any more and sheds for good; one would
    /// see refusals at the entry while the service idles. The rise is gradual so that calls don't come back at once.
    fn aged(&self, heard: Heard, now: Instant) -> f64 {
        let open = f64::from(Level::OPEN.position());
        let age = now
            .saturating_duration_since(heard.at)
            .saturating_sub(self.hold);
        if age.is_zero() {
            return heard.position;
        }
        let risen = age.as_secs_f64() / self.rise.as_secs_f64().max(f64::EPSILON);
        (heard.position + risen * open).min(open)
    }
}
