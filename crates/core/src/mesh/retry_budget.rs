//! A node's part of the budget for repeats that all nodes share.

use std::collections::hash_map::Entry;
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
    /// What first requests have earned of late: halves within half a window.
    recent: f64,
    at: Instant,
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

    /// Takes in changed bounds. What has been earned stays, up to what may now be saved up.
    pub fn set_config(&mut self, cfg: RetryBudgetConfig) {
        self.cfg = cfg;
    }

    /// Takes in how many nodes share the budget.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
    }

    /// Counts first requests to a service; `requests` may be a fraction where only a part of them is this node's to use.
    pub fn earn(&mut self, service: &ServiceName, requests: f64, now: Instant) {
        let earned = self.cfg.ratio * self.cfg.used_share * requests;
        let slack = self.slack_part();
        let account = self.account(service, now);
        account.recent += earned;
        account.tokens = (account.tokens + earned).min(account.cap(slack));
    }

    /// Takes the cost of one repeat from every service that it reaches, or nothing where one of them has too little.
    ///
    /// `reserve` is the share of what can be saved up, 0 to 1, that must be left for more urgent requests. Where everything
    /// fails, repeats of the many less urgent ones would otherwise leave nothing for the few urgent ones.
    pub fn spend(&mut self, costs: &[(ServiceName, f64)], reserve: f64, now: Instant) -> bool {
        let slack = self.slack_part();
        let affordable = costs.iter().all(|(service, cost)| {
            let account = self.account(service, now);
            account.tokens - cost >= reserve * (account.cap(slack) - SMALLEST_CAP).max(0.0)
        });
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

    /// This node's part of what is allowed in a window whatever the requests.
    fn slack_part(&self) -> f64 {
        self.cfg.slack * self.cfg.used_share / f64::from(self.nodes)
    }

    /// The account with all that time has brought.
    fn account(&mut self, service: &ServiceName, now: Instant) -> &mut Account {
        let window = self.cfg.window.as_secs_f64();
        let slack = self.slack_part();
        let account = match self.accounts.entry(service.clone()) {
            Entry::Occupied(account) => account.into_mut(),
            Entry::Vacant(place) => place.insert(Account {
                tokens: (slack * SAVED_SHARE).max(SMALLEST_CAP),
                recent: 0.0,
                at: now,
            }),
        };
        let passed = now.saturating_duration_since(account.at).as_secs_f64();
        account.at = now;
        account.recent *= 0.5_f64.powf(2.0 * passed / window);
        let refilled = account.tokens + slack * SAVED_SHARE * passed / window;
        account.tokens = refilled.min(account.cap(slack));
        account
    }
}

impl Account {
    /// Tokens that may be saved up. All of them can be spent at once, on top of what a window earns, so they are a part of
    /// what a window is allowed.
    fn cap(&self, slack: f64) -> f64 {
        (slack * SAVED_SHARE + self.recent * SAVED_SHARE).max(SMALLEST_CAP)
    }
}

/// Share of a window's allowance that can be saved up for the next one.
const SAVED_SHARE: f64 = 0.5;

/// A node of a large fleet must be able to save up for one repeat, or it could never send one.
const SMALLEST_CAP: f64 = 1.0;
