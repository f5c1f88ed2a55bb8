//! Retry budget of one edge between a node and a service.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Integer units per retry. Integers avoid rounding errors, so that ten tenths credit up to one retry.
const UNITS_PER_RETRY: f64 = 1e6;

/// Settings of [`EdgeBudget`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeBudgetConfig {
    /// Retries added to the budget by each success.
    pub ratio: f64,
    /// Maximum number of retries in the budget.
    pub burst: f64,
    /// Interval at which one retry is added to the budget even without successes.
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

/// Limits the retries of all requests over one edge to a fraction of its successes.
///
/// The allowance limits a single request only. When a service fails for all requests at once, each of them may retry
/// and multiply the load of the failing service. A budget refilled by successes is exhausted in that case.
#[derive(Clone, Debug)]
pub struct EdgeBudget {
    cfg: EdgeBudgetConfig,
    /// Available retries, in units of 1 / [`UNITS_PER_RETRY`].
    balance: u64,
    last_refill: Instant,
}

impl EdgeBudget {
    /// Creates a full budget.
    pub fn new(cfg: EdgeBudgetConfig, now: Instant) -> Self {
        Self {
            balance: to_units(cfg.burst),
            cfg,
            last_refill: now,
        }
    }

    /// Adds the retries last_refill by a success.
    pub fn success(&mut self) {
        self.credit(self.cfg.ratio);
    }

    /// Spends one retry. Returns false if the budget is exhausted.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.refill_idle(now);
        let Some(balance) = self.balance.checked_sub(to_units(1.0)) else {
            return false;
        };
        self.balance = balance;
        true
    }

    fn refill_idle(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        if !self.cfg.idle_interval.is_zero() {
            self.credit(elapsed.as_secs_f64() / self.cfg.idle_interval.as_secs_f64());
        }
    }

    fn credit(&mut self, retries: f64) {
        self.balance = self
            .balance
            .saturating_add(to_units(retries))
            .min(to_units(self.cfg.burst));
    }
}

fn to_units(retries: f64) -> u64 {
    (retries * UNITS_PER_RETRY).round() as u64
}
