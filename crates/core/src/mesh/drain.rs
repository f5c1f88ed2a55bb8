//! Admission of requests between the stop signal and the end of a node.

use std::time::{Duration, Instant};

/// Settings of draining a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainConfig {
    /// Grace period from the stop signal to the forced end.
    pub grace_period: Duration,
    /// Time after the stop signal for which callers still send requests. They notice by the readiness check, which is
    /// polled every second and takes two failures.
    pub caller_window: Duration,
    /// Time before the forced end by which admitted requests should have finished, since their responses still have to
    /// be sent.
    pub margin: Duration,
    /// Multiple of the mean latency of their kind within which nearly all requests finish.
    pub tail_factor: f64,
}

impl Default for DrainConfig {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(6),
            caller_window: Duration::from_millis(2400),
            margin: Duration::from_millis(500),
            tail_factor: 2.0,
        }
    }
}

/// Time after the stop signal at which the last sixth of a grace period begins. From then on, no request waits for a
/// slot: its refusal has to reach the caller before the forced end.
pub fn waiting_end(grace_period: Duration) -> Duration {
    grace_period - grace_period / 6
}

impl DrainConfig {
    /// See [`waiting_end`].
    pub fn waiting_end(&self) -> Duration {
        waiting_end(self.grace_period)
    }

    /// Time after the stop signal by which requests should have finished.
    fn latest_end(&self) -> Duration {
        self.grace_period.saturating_sub(self.margin)
    }
}

/// The draining of a node that has received the stop signal. Later signals and changed settings don't move its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    cfg: DrainConfig,
    started: Instant,
}

impl Drain {
    /// Starts draining at `now`.
    pub fn new(cfg: DrainConfig, now: Instant) -> Self {
        Self { cfg, started: now }
    }

    /// Whether to admit a request of a caller: only if it is expected to finish before the forced end of the node.
    /// `expected` is the mean latency of its kind, `left` the time until its deadline.
    ///
    /// A request refused here has not run and can be retried; one that is cut off at the end may have run.
    pub fn admits_caller(&self, expected: Duration, left: Duration, now: Instant) -> bool {
        self.elapsed(now) < self.cfg.caller_window && self.ends_in_time(expected, left, now)
    }

    /// Whether to admit a request of another node: only if it is not expected to delay the end of this node beyond the
    /// time when its own callers have left. The other node can choose another host immediately.
    pub fn admits_peer(&self, expected: Duration, left: Duration, now: Instant) -> bool {
        let latest = self.cfg.latest_end().min(self.cfg.caller_window);
        self.expected_end(expected, left, now) <= latest
    }

    /// Whether to start a call of a run, or another attempt to serve a request: only if it is expected to finish before
    /// the forced end of the node. Runs make calls until they end, so no caller window applies. If nothing is known about
    /// its kind, it does not start in the last sixth of the grace period.
    pub fn lets_start(&self, expected: Duration, left: Duration, now: Instant) -> bool {
        let is_known = !expected.is_zero();
        (is_known || self.elapsed(now) < self.cfg.waiting_end())
            && self.ends_in_time(expected, left, now)
    }

    /// Whether a request that waits for a slot may go on waiting.
    pub fn lets_wait(&self, expected: Duration, left: Duration, now: Instant) -> bool {
        self.elapsed(now) < self.cfg.waiting_end() && self.ends_in_time(expected, left, now)
    }

    /// Whether a request that starts now is expected to finish before the forced end of the node.
    fn ends_in_time(&self, expected: Duration, left: Duration, now: Instant) -> bool {
        self.expected_end(expected, left, now) <= self.cfg.latest_end()
    }

    /// Time from the stop signal to the expected end of a request that is admitted now.
    fn expected_end(&self, expected: Duration, left: Duration, now: Instant) -> Duration {
        self.elapsed(now) + expected.mul_f64(self.cfg.tail_factor).min(left)
    }

    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
