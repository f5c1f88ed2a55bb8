//! Which requests an entry sheds since a service on their way is overloaded.

use std::hash::{Hash, Hasher};
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
    /// Time for which the same requests are the ones that are shed. Longer than a caller waits before it comes back, short
    /// beside an overload that lasts, so that it does not always hit the same ones.
    pub epoch: Duration,
    /// Shortest time after which a shed caller is asked to come back: levels move within some tenths of a second.
    pub back_soonest: Duration,
    /// Added to it in proportion to the share that is shed.
    pub back_later: Duration,
}

impl Default for ShedderConfig {
    fn default() -> Self {
        Self {
            newest: 0.25,
            fresh: Duration::from_millis(600),
            fall: 0.5,
            most: 0.97,
            epoch: Duration::from_secs(8),
            back_soonest: Duration::from_millis(250),
            back_later: Duration::from_millis(500),
        }
    }
}

/// Levels by route, as reported with answers, and who is shed by them.
///
/// A request is shed where it enters, before anything has been done for it. Refused deeper down, the work above it would
/// be lost, and its callers would repeat all of it.
///
/// Who is shed follows from a hash of what is asked for, so a caller that comes back too soon is shed again, and one that
/// is served is served at once. Drawn anew for each attempt, a share `s` that is shed turns away only `s²` of the requests
/// for good and delays the others for nothing: the load falls late, and the level overshoots.
#[derive(Clone, Debug)]
pub struct Shedder {
    cfg: ShedderConfig,
    levels: Map<SmolStr, Reported>,
    began: Instant,
    /// Makes nodes differ in whom they shed, and so do the starts of a node.
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    level: f64,
    at: Instant,
}

/// A request that is shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shed {
    /// Level of the route.
    pub level: f64,
    /// Share of the route's requests that are shed.
    pub share: f64,
    /// Retry-After for its caller.
    pub retry_after: Duration,
}

impl Shedder {
    /// No overload has been reported for any route yet.
    pub fn new(cfg: ShedderConfig, seed: u64, now: Instant) -> Self {
        Self {
            cfg,
            levels: Map::default(),
            began: now,
            seed,
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

    /// Decides about a request; `host` and `path` are what it asks for. Returns the share of its like that is admitted with
    /// it.
    ///
    /// # Errors
    ///
    /// It is shed.
    pub fn judge(
        &self,
        route: &SmolStr,
        order: usize,
        host: &str,
        path: &str,
        now: Instant,
    ) -> Result<f64, Shed> {
        let share = self.share(route, order, now);
        if share <= 0.0 {
            return Ok(1.0);
        }
        let place = self.place(host, path, now);
        if place >= share {
            return Ok(1.0 - share);
        }
        // Callers that were shed together must not come back together.
        let spread = 0.75 + 0.5 * (place / share);
        let wait = self.cfg.back_soonest + self.cfg.back_later.mul_f64(share);
        Err(Shed {
            level: self.level(route, now),
            share,
            retry_after: wait.mul_f64(spread),
        })
    }

    /// Forgets routes that are not in force any more.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.levels.retain(|route, _| keep(route));
    }

    /// Where a request stands in the order of shedding of this epoch, from 0 to 1.
    fn place(&self, host: &str, path: &str, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.began).as_secs_f64();
        let epoch = (age / self.cfg.epoch.as_secs_f64()) as u64;
        let mut hasher = std::hash::DefaultHasher::new();
        (self.seed, epoch, host, path).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
