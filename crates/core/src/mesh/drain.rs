//! What a node admits between the signal to stop and its end.

use std::time::{Duration, Instant};

/// How a node drains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainConfig {
    /// Time from the signal to the forced end.
    pub grace: Duration,
    /// Time for which callers come: they are told by the readiness check, asked each second and believed after two misses.
    pub callers: Duration,
    /// Time before the forced end by which what is admitted should have ended: its answer has a way to go.
    pub margin: Duration,
    /// Times the mean of their kind that nearly all requests take at most.
    pub spread: f64,
}

impl Default for DrainConfig {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(6),
            callers: Duration::from_millis(2400),
            margin: Duration::from_millis(500),
            spread: 2.0,
        }
    }
}

/// A node that has been told to stop. Later signals and changed settings don't move its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    cfg: DrainConfig,
    since: Instant,
}

impl Drain {
    /// A drain that begins now.
    pub fn new(cfg: DrainConfig, now: Instant) -> Self {
        Self { cfg, since: now }
    }

    /// Whether a request of a caller is admitted: it is expected to end before the node must. `expected` is the mean time of
    /// its kind, `left` what is left of its time limit.
    ///
    /// One that is refused here has not run and can be sent again; one that is cut off at the end may have.
    pub fn admits_caller(&self, expected: Duration, left: Duration, now: Instant) -> bool {
        let latest = self.cfg.grace.saturating_sub(self.cfg.margin);
        self.passed(now) < self.cfg.callers && self.end(expected, left, now) <= latest
    }

    /// Whether a request of another node is admitted: it is expected not to keep this one from ending when its callers have
    /// left. The other node can choose another host at once.
    pub fn admits_peer(&self, expected: Duration, left: Duration, now: Instant) -> bool {
        let latest = self.cfg.grace.saturating_sub(self.cfg.margin);
        self.end(expected, left, now) <= latest.min(self.cfg.callers)
    }

    /// Time from the signal to the end of a request that is admitted now.
    fn end(&self, expected: Duration, left: Duration, now: Instant) -> Duration {
        self.passed(now) + expected.mul_f64(self.cfg.spread).min(left)
    }

    fn passed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
