//! Overload levels of services, as reported with the replies to requests of all routes.

use std::time::Instant;

use super::reported_level::ReportedLevel;
use crate::collections::Map;
use crate::id::ServiceName;
use crate::mesh::ShedderConfig;

/// Highest level that is accepted from a report. Hosts tell 16 shed orders apart, so a higher one is forged or faulty;
/// averaged and decayed, it would shed requests for minutes.
const MAX_LEVEL: f64 = 16.0;

/// Overload level of each service, smoothed and decayed as specified by [`ShedderConfig`].
#[derive(Clone, Debug)]
pub struct ServiceLevels {
    cfg: ShedderConfig,
    levels: Map<ServiceName, ReportedLevel>,
}

impl ServiceLevels {
    /// Creates a set without reports, in which every level is 0.
    pub fn new(cfg: ShedderConfig) -> Self {
        Self {
            cfg,
            levels: Map::default(),
        }
    }

    /// Records the overload level that a reply reports for a service. A value that is not a number is ignored, others
    /// are clamped.
    pub fn report(&mut self, service: &ServiceName, level: f64, now: Instant) {
        if level.is_nan() {
            return;
        }
        let level = level.clamp(0.0, MAX_LEVEL);
        if let Some(known) = self.levels.get_mut(service) {
            return known.report(&self.cfg, level, now);
        }
        if level > 0.0 {
            let mut reported = ReportedLevel::new(now);
            reported.report(&self.cfg, level, now);
            self.levels.insert(service.clone(), reported);
        }
    }

    /// Current overload level of a service; 0 without reports.
    pub fn level(&self, service: &ServiceName, now: Instant) -> f64 {
        let reported = self.levels.get(service);
        reported.map_or(0.0, |reported| reported.current(&self.cfg, now))
    }

    /// Removes the levels of services that `keep` rejects.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&ServiceName) -> bool,
    {
        self.levels.retain(|service, _| keep(service));
    }
}
