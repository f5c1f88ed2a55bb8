//! A node's share of the retry budget of all nodes.

use std::collections::hash_map::Entry;
use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::id::ServiceName;

/// Bounds of retries over all nodes, and the share of them that nodes use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per first attempt of a request to a service.
    pub ratio: f64,
    /// Additional retries allowed per window, independent of the traffic.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Share of the bound that nodes use, from 0 to 1. The rest covers what nodes can't see of each other: requests
    /// that ended at another node, and instance counts that differ temporarily.
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

/// Token buckets for retries, one per service, refilled by first attempts and slowly over time.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    nodes: u32,
    buckets: Map<ServiceName, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    /// Tokens recently deposited by first attempts; decays with a half-life of half a window.
    recent_deposits: f64,
    updated: Instant,
}

impl RetryBudget {
    /// Creates a budget without deposits.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            nodes: 1,
            buckets: Map::default(),
        }
    }

    /// Replaces the bounds. Tokens are kept up to the new capacity of their bucket.
    pub fn set_config(&mut self, cfg: RetryBudgetConfig) {
        self.cfg = cfg;
    }

    /// Sets the number of nodes that share the budget.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
    }

    /// Deposits tokens for first attempts of requests to a service. `requests` may be fractional if this node may use
    /// only a part of their tokens.
    pub fn deposit(&mut self, service: &ServiceName, requests: f64, now: Instant) {
        let deposit = self.cfg.ratio * self.cfg.used_share * requests;
        let slack = self.slack_share();
        let bucket = self.bucket(service, now);
        bucket.recent_deposits += deposit;
        bucket.tokens = (bucket.tokens + deposit).min(bucket.capacity(slack));
    }

    /// Withdraws the cost of one retry from the bucket of every service that it reaches. Withdraws nothing and returns
    /// `false` if one of them has too few tokens.
    ///
    /// `reserve` is the share of the bucket capacity, from 0 to 1, that must remain for more urgent requests. If
    /// everything fails, retries of the many less urgent requests would otherwise leave nothing for the few urgent
    /// ones.
    pub fn try_withdraw(
        &mut self,
        costs: &[(ServiceName, f64)],
        reserve: f64,
        now: Instant,
    ) -> bool {
        let slack = self.slack_share();
        let affordable = costs.iter().all(|(service, cost)| {
            let bucket = self.bucket(service, now);
            bucket.tokens - cost >= reserve * (bucket.capacity(slack) - MIN_CAPACITY).max(0.0)
        });
        if !affordable {
            return false;
        }
        for (service, cost) in costs {
            self.bucket(service, now).tokens -= cost;
        }
        true
    }

    /// Tokens available for a service.
    pub fn balance(&mut self, service: &ServiceName, now: Instant) -> f64 {
        self.bucket(service, now).tokens
    }

    /// This node's share of the retries allowed per window independent of the traffic.
    fn slack_share(&self) -> f64 {
        self.cfg.slack * self.cfg.used_share / f64::from(self.nodes)
    }

    /// Bucket of a service, refilled up to `now`.
    fn bucket(&mut self, service: &ServiceName, now: Instant) -> &mut Bucket {
        let window = self.cfg.window.as_secs_f64();
        let slack = self.slack_share();
        let bucket = match self.buckets.entry(service.clone()) {
            Entry::Occupied(bucket) => bucket.into_mut(),
            Entry::Vacant(entry) => entry.insert(Bucket {
                tokens: (slack * CAPACITY_SHARE).max(MIN_CAPACITY),
                recent_deposits: 0.0,
                updated: now,
            }),
        };
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.updated = now;
        bucket.recent_deposits *= 0.5_f64.powf(2.0 * elapsed / window);
        let refilled = bucket.tokens + slack * CAPACITY_SHARE * elapsed / window;
        bucket.tokens = refilled.min(bucket.capacity(slack));
        bucket
    }
}

impl Bucket {
    /// Maximum number of tokens. All of them can be spent at once, on top of the deposits of a window, so the capacity
    /// is only a part of the allowance of a window.
    fn capacity(&self, slack: f64) -> f64 {
        (slack * CAPACITY_SHARE + self.recent_deposits * CAPACITY_SHARE).max(MIN_CAPACITY)
    }
}

/// Share of a window's allowance that can be carried over to the next one.
const CAPACITY_SHARE: f64 = 0.5;

/// Minimum capacity of a bucket. A node of a large fleet must be able to accumulate the token for one retry, or it
/// could never send one.
const MIN_CAPACITY: f64 = 1.0;
