//! The retry budget of one edge between a node and a service.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Parts of one retry that are counted; whole numbers, so that ten tenths are one retry.
const PARTS: f64 = 1e6;

/// Settings of [`EdgeBudget`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeBudgetConfig {
    /// Retries earned by each success.
    pub ratio: f64,
    /// Most retries saved up.
    pub burst: f64,
    /// Time in which an edge without successes earns one retry.
    pub idle_interval: Duration,
}

impl Default for EdgeBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 10.0,
            idle_interval: Duration::from_secs(1),
        }
    }
}

/// Bounds the retries of many requests over one edge by a share of its successes.
///
/// The allowance bounds one request only. When a service fails for all requests at once, each of them may retry, and the
/// failing service sees its load multiplied at the moment it can least bear it. A budget that fills by successes runs dry
/// then.
#[derive(Clone, Debug)]
pub struct EdgeBudget {
    cfg: EdgeBudgetConfig,
    /// Retries saved up, in [`PARTS`].
    saved: u64,
    earned: Instant,
}

impl EdgeBudget {
    /// A full budget.
    pub fn new(cfg: EdgeBudgetConfig, now: Instant) -> Self {
        Self {
            saved: parts(cfg.burst),
            cfg,
            earned: now,
        }
    }

    /// Counts a success.
    pub fn success(&mut self) {
        self.add(self.cfg.ratio);
    }

    /// Spends one retry; false where the budget is dry.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.earn_idle(now);
        let Some(saved) = self.saved.checked_sub(parts(1.0)) else {
            return false;
        };
        self.saved = saved;
        true
    }

    fn earn_idle(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.earned);
        self.earned = self.earned.max(now);
        if !self.cfg.idle_interval.is_zero() {
            self.add(elapsed.as_secs_f64() / self.cfg.idle_interval.as_secs_f64());
        }
    }

    fn add(&mut self, retries: f64) {
        self.saved = self
            .saved
            .saturating_add(parts(retries))
            .min(parts(self.cfg.burst));
    }
}

fn parts(retries: f64) -> u64 {
    (retries * PARTS).round() as u64
}
