//! A node's part of the budget for repeats that all nodes share.

use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::id::ServiceName;

/// Bounds of repeats over all nodes, and how much of them nodes use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Repeats allowed for each first request of a service.
    pub ratio: f64,
    /// Repeats allowed in a window besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Share of the bound that nodes use, 0 to 1. The rest is for what nodes can't see of each other: requests that
    /// ended at another node, and counts of instances that differ for a moment.
    pub used_share: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 48.0,
            window: Duration::from_secs(10),
            used_share: 0.6,
        }
    }
}

/// Tokens for repeats, by service: earned by first requests, and slowly by time.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    nodes: u32,
    accounts: Map<ServiceName, Account>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    tokens: f64,
    earned_at: Instant,
}

impl RetryBudget {
    /// A budget that nothing has been earned for yet.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            nodes: 1,
            accounts: Map::default(),
        }
    }

    /// Takes in how many nodes share the budget.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
    }

    /// Counts the first sending of a request to a service.
    pub fn earn(&mut self, service: &ServiceName, now: Instant) {
        let earned = self.cfg.ratio * self.cfg.used_share;
        let cap = self.cap();
        let account = self.account(service, now);
        account.tokens = (account.tokens + earned).min(cap);
    }

    /// Takes the cost of one repeat from every service that it reaches, or nothing where one of them has too little.
    pub fn spend(&mut self, costs: &[(ServiceName, f64)], now: Instant) -> bool {
        let affordable = costs
            .iter()
            .all(|(service, cost)| self.account(service, now).tokens >= *cost);
        if !affordable {
            return false;
        }
        for (service, cost) in costs {
            self.account(service, now).tokens -= cost;
        }
        true
    }

    /// Tokens left for a service.
    pub fn left(&mut self, service: &ServiceName, now: Instant) -> f64 {
        self.account(service, now).tokens
    }

    /// Tokens that this node may have at most: what is saved up can be spent at once, within one window.
    fn cap(&self) -> f64 {
        (self.slack_part() * 0.5).max(SMALLEST_CAP)
    }

    fn slack_part(&self) -> f64 {
        self.cfg.slack * self.cfg.used_share / f64::from(self.nodes)
    }

    fn account(&mut self, service: &ServiceName, now: Instant) -> &mut Account {
        let per_second = self.slack_part() * 0.5 / self.cfg.window.as_secs_f64();
        let cap = self.cap();
        let account = self.accounts.entry(service.clone()).or_insert(Account {
            tokens: cap,
            earned_at: now,
        });
        let passed = now.saturating_duration_since(account.earned_at);
        account.tokens = (account.tokens + per_second * passed.as_secs_f64()).min(cap);
        account.earned_at = now;
        account
    }
}

/// A node of a large fleet must be able to save up for one repeat, or it could never send one.
const SMALLEST_CAP: f64 = 1.0;
