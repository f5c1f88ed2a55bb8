//! Limit on the rate at which requests start at a target.

use std::time::{Duration, Instant};

/// Lowest rate in requests per second. A target that gets no requests could not tell that its limit has ended.
const MIN_RATE: f64 = 0.5;

/// Time in which saved starts accumulate. Longer bursts would let a target be hit by more than it named.
const BURST: Duration = Duration::from_millis(250);

/// A token bucket; each start takes a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates an empty bucket; `per_second` is the limit that the target names.
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second: per_second.max(MIN_RATE),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the limit and keeps the saved starts, as far as the new limit allows them.
    pub fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second.max(MIN_RATE);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Whether both limit to the same rate.
    pub fn has_same_limit(&self, other: &Self) -> bool {
        self.per_second == other.per_second
    }

    /// Average number of slots in use at this rate by requests that hold one for `mean_held` seconds.
    pub fn slots_in_use(&self, mean_held: f64) -> f64 {
        self.per_second * mean_held
    }

    /// Adds the starts earned since the last call.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let earned = elapsed.as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.burst());
        self.refilled_at = now;
    }

    /// Takes a start, if there is one.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Gives back a start that was not used.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst());
    }

    /// Time until the start of a request with this many others ahead of it.
    pub fn wait(&self, ahead: usize) -> Duration {
        let missing = (ahead as f64 + 1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.per_second)
    }

    /// Share of the limit that is in use, with this many requests queued; above 1 the queue grows.
    pub fn utilization(&self, queued: usize) -> f64 {
        1.0 - self.tokens / self.burst() + queued as f64 / self.per_second
    }

    fn burst(&self) -> f64 {
        (self.per_second * BURST.as_secs_f64()).max(1.0)
    }
}
