//! An overload level as reported with replies.

use std::time::Instant;

use super::ShedderConfig;

/// Moving average of reported overload levels, which decays without new reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLevel {
    level: f64,
    at: Instant,
}

impl ReportedLevel {
    /// Starts at level 0.
    pub fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            at: now,
        }
    }

    /// Adds a report to the average.
    pub fn report(&mut self, cfg: &ShedderConfig, level: f64, now: Instant) {
        let previous = self.current(cfg, now);
        self.level = previous + cfg.report_weight * (level - previous);
        self.at = now;
    }

    /// The level after its decay since the last report.
    pub fn current(&self, cfg: &ShedderConfig, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        let stale_time = age.saturating_sub(cfg.stale_after).as_secs_f64();
        (self.level - cfg.decay_per_second * stale_time).max(0.0)
    }
}
