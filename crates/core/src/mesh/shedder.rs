//! Load shedding at an entry node, by the overload levels of the services downstream.

use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::reported_level::ReportedLevel;
use crate::collections::Map;

/// How an entry node follows the overload levels that hosts report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedderConfig {
    /// Weight of a new report in the moving average.
    pub report_weight: f64,
    /// Age of the last report from which the level decays.
    pub stale_after: Duration,
    /// Decay of a stale level per second, so that some requests are admitted and return a new report.
    pub decay_per_second: f64,
    /// Maximum share of a rank that is shed; the requests still admitted keep returning reports.
    pub max_share: f64,
    /// Time for which the choice of requests to shed stays the same. Longer than a caller waits before it retries, but
    /// short compared with a lasting overload, so that the same callers are not shed throughout.
    pub epoch: Duration,
    /// Minimum Retry-After of a shed request: levels change within a few tenths of a second.
    pub min_retry_after: Duration,
    /// Added to the Retry-After in proportion to the share that is shed.
    pub extra_retry_after: Duration,
}

impl Default for ShedderConfig {
    fn default() -> Self {
        Self {
            report_weight: 0.25,
            stale_after: Duration::from_millis(600),
            decay_per_second: 0.5,
            max_share: 0.97,
            epoch: Duration::from_secs(8),
            min_retry_after: Duration::from_millis(250),
            extra_retry_after: Duration::from_millis(500),
        }
    }
}

impl ShedderConfig {
    /// Share of the requests of a rank to shed at a level.
    pub(super) fn share(&self, level: f64, shed_order: usize) -> f64 {
        (level - shed_order as f64).clamp(0.0, self.max_share)
    }
}

/// Overload levels by route, as reported with responses, and the decision which requests to shed.
///
/// Requests are shed at the entry node, before any work has been done for them. If they were refused further
/// downstream, the work upstream would be lost, and retries would do all of it again.
///
/// The choice is made by a hash of the requested host name and path, so a caller that retries too early is shed again,
/// and an admitted request is admitted at its first attempt. With an independent random choice for each attempt,
/// shedding a share `s` would reject only `s²` of the requests in the end and delay the others needlessly: the load
/// falls late, and the level overshoots.
#[derive(Clone, Debug)]
pub struct Shedder {
    cfg: ShedderConfig,
    levels: Map<SmolStr, ReportedLevel>,
    created: Instant,
    /// Random per start of a node, so that nodes shed different requests.
    seed: u64,
}

/// The decision to shed a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shed {
    /// Overload level of the route.
    pub level: f64,
    /// Share of the requests with its route and rank that are shed.
    pub share: f64,
    /// Retry-After sent to the caller.
    pub retry_after: Duration,
    /// Whether the request is shed because of its cost; it would be admitted if all routes of its rank were shed alike.
    pub by_cost: bool,
}

/// Share of similar requests to shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedShare {
    /// Overload level of the route.
    pub level: f64,
    /// Share of the requests with its route and rank to shed, from 0 to 1.
    pub share: f64,
    /// Share that would be shed without regard to cost.
    pub even_share: f64,
}

impl Shedder {
    /// Creates a shedder without reported levels.
    pub fn new(cfg: ShedderConfig, seed: u64, now: Instant) -> Self {
        Self {
            cfg,
            levels: Map::default(),
            created: now,
            seed,
        }
    }

    /// Records the highest overload level that a request of a route encountered.
    pub fn report(&mut self, route: &SmolStr, level: f64, now: Instant) {
        if let Some(known) = self.levels.get_mut(route) {
            return known.report(&self.cfg, level, now);
        }
        let mut reported = ReportedLevel::new(now);
        reported.report(&self.cfg, level, now);
        self.levels.insert(route.clone(), reported);
    }

    /// Current overload level of a route.
    pub fn level(&self, route: &SmolStr, now: Instant) -> f64 {
        let reported = self.levels.get(route);
        reported.map_or(0.0, |reported| reported.current(&self.cfg, now))
    }

    /// Share of a route's requests to shed; `shed_order` is 0 for the rank that is shed first.
    pub fn share(&self, route: &SmolStr, shed_order: usize, now: Instant) -> f64 {
        self.cfg.share(self.level(route, now), shed_order)
    }

    /// Decides whether to admit a request for `host` and `path`. Returns the admitted share of requests with its route
    /// and rank.
    ///
    /// # Errors
    ///
    /// Returns [`Shed`] if the request is shed.
    pub fn admit(
        &self,
        route: &SmolStr,
        shed_order: usize,
        host: &str,
        path: &str,
        now: Instant,
    ) -> Result<f64, Shed> {
        let level = self.level(route, now);
        let share = self.cfg.share(level, shed_order);
        let shed_share = ShedShare {
            level,
            share,
            even_share: share,
        };
        self.admit_share(shed_share, host, path, now)
    }

    /// Decides whether to admit a request for `host` and `path`, given the share of similar requests to shed. Returns
    /// the admitted share of them.
    ///
    /// # Errors
    ///
    /// Returns [`Shed`] if the request is shed.
    pub fn admit_share(
        &self,
        shed_share: ShedShare,
        host: &str,
        path: &str,
        now: Instant,
    ) -> Result<f64, Shed> {
        let ShedShare {
            level,
            share,
            even_share,
        } = shed_share;
        if share <= 0.0 {
            return Ok(1.0);
        }
        let position = self.shed_position(host, path, now);
        if position >= share {
            return Ok(1.0 - share);
        }
        // Spreads the retries of callers that were shed together over time.
        let jitter = 0.75 + 0.5 * (position / share);
        let wait = self.cfg.min_retry_after + self.cfg.extra_retry_after.mul_f64(share);
        Err(Shed {
            level,
            share,
            retry_after: wait.mul_f64(jitter),
            by_cost: position >= even_share,
        })
    }

    /// Removes the levels of routes that `keep` rejects.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.levels.retain(|route, _| keep(route));
    }

    /// Position of a request in the shed sequence of the current epoch, from 0 to 1; lower positions are shed first.
    fn shed_position(&self, host: &str, path: &str, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.created).as_secs_f64();
        let epoch = (age / self.cfg.epoch.as_secs_f64()) as u64;
        let mut hasher = std::hash::DefaultHasher::new();
        (self.seed, epoch, host, path).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
