//! Which requests an entry sheds since a service on their way is overloaded.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::collections::Map;

/// How an entry follows the levels that hosts report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedderConfig {
    /// Weight of the newest report.
    pub newest: f64,
    /// Age from which a level without new reports falls.
    pub fresh: Duration,
    /// Fall in a second from then on, so that some requests go through and bring a new report.
    pub fall: f64,
    /// Largest share of a rank that is shed; the rest keeps reports coming.
    pub most: f64,
}

impl Default for ShedderConfig {
    fn default() -> Self {
        Self {
            newest: 0.25,
            fresh: Duration::from_millis(600),
            fall: 0.5,
            most: 0.97,
        }
    }
}

/// Levels by route, as reported with answers.
///
/// A request is shed where it enters, before anything has been done for it. Refused deeper down, the work above it would
/// be lost, and its callers would repeat all of it.
#[derive(Clone, Debug)]
pub struct Shedder {
    cfg: ShedderConfig,
    levels: Map<SmolStr, Reported>,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    level: f64,
    at: Instant,
}

impl Shedder {
    /// A shedder without reports.
    pub fn new(cfg: ShedderConfig) -> Self {
        Self {
            cfg,
            levels: Map::default(),
        }
    }

    /// Takes in the highest level met by a request of a route.
    pub fn report(&mut self, route: &SmolStr, level: f64, now: Instant) {
        let old = self.level(route, now);
        let level = old + self.cfg.newest * (level - old);
        self.levels
            .insert(route.clone(), Reported { level, at: now });
    }

    /// The level that holds for a route now.
    pub fn level(&self, route: &SmolStr, now: Instant) -> f64 {
        let Some(reported) = self.levels.get(route) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported.at);
        let stale = age.saturating_sub(self.cfg.fresh).as_secs_f64();
        (reported.level - self.cfg.fall * stale).max(0.0)
    }

    /// Share of a route's requests to shed; `order` is 0 for the rank that is shed first.
    pub fn share(&self, route: &SmolStr, order: usize, now: Instant) -> f64 {
        (self.level(route, now) - order as f64).clamp(0.0, self.cfg.most)
    }

    /// Forgets routes that are not in force any more.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.levels.retain(|route, _| keep(route));
    }
}
