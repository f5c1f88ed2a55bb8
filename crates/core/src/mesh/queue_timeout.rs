//! Queue timeout: the longest expected wait for a slot at which a request is still queued.

use std::time::{Duration, Instant};

/// Bounds of the queue timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTimeoutConfig {
    /// Share of its latency target that an external request may wait for a slot; the rest is left for its run.
    pub latency_target_share: f64,
    /// Share of its remaining time that it may wait even if it misses its latency target.
    pub min_share: f64,
}

impl Default for QueueTimeoutConfig {
    fn default() -> Self {
        Self {
            latency_target_share: 0.6,
            min_share: 0.2,
        }
    }
}

/// Properties of a request that determine its queue timeout.
#[derive(Clone, Copy, Debug)]
pub struct QueueTimeoutRequest {
    /// Whether it is a call made during another run.
    pub inner: bool,
    /// When it arrived.
    pub arrived: Instant,
    /// Latency up to which its response has its full value.
    pub latency_target: Duration,
    /// Deadline of the request.
    pub deadline: Instant,
}

impl QueueTimeoutConfig {
    /// Longest expected wait at which a request is still queued.
    ///
    /// A call made during another run waits up to its deadline, because slots upstream are already held for it. An
    /// external request is refused while its caller still has time to retry.
    pub fn timeout_for(&self, req: &QueueTimeoutRequest, now: Instant) -> Duration {
        let left = req.deadline.saturating_duration_since(now);
        if req.inner {
            return left;
        }
        let latest = req.arrived + req.latency_target.mul_f64(self.latency_target_share);
        let within_target = latest.saturating_duration_since(now);
        within_target.max(left.mul_f64(self.min_share))
    }
}
