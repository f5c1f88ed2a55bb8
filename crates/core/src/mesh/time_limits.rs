//! Deadlines of requests, and the margins subtracted from their time limits.

use std::time::{Duration, Instant};

/// Margin subtracted from a time limit, bounded by a duration and by a share of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    /// Maximum margin.
    pub max: Duration,
    /// Maximum share of the limit, so that short limits keep most of their time.
    pub share: f64,
}

impl Margin {
    /// Margin for a time limit.
    pub fn for_limit(&self, limit: Duration) -> Duration {
        self.max.min(limit.mul_f64(self.share))
    }
}

/// Margins subtracted from the time limits of a request.
///
/// Each margin is subtracted once, by the hop that needs it, and never from the limit that is propagated downstream,
/// where it would accumulate. With 75 ms subtracted at each of three hops, a request with a limit of 800 ms reaches its
/// last service with 60 ms left instead of 286 ms, and about 75 of 1,000 requests fail in a fleet of 95 without
/// overload, instead of 4 of 1,000.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeLimits {
    /// Subtracted from the limit of an external caller, so that the response reaches it in time.
    pub answer: Margin,
    /// Subtracted from the time for which an external request may wait for a slot. Its refusal must reach the entry
    /// node, and then the caller, before their own timers expire; after that it is no longer known that the request has
    /// not run.
    pub refusal: Margin,
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self {
            // Covers a round trip between a caller and its node, including a late wake-up of the node.
            answer: Margin {
                max: Duration::from_millis(15),
                share: 0.05,
            },
            // Covers the check for expired requests, which runs every 50 ms, and the way back over two nodes under
            // load.
            refusal: Margin {
                max: Duration::from_millis(75),
                share: 0.15,
            },
        }
    }
}

/// Time limits that apply to a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// When it arrived at its entry node.
    pub arrived: Instant,
    /// Timeout of its route.
    pub route_timeout: Duration,
    /// Time limit given by its caller, if any.
    pub caller_timeout: Option<Duration>,
    /// Deadline of the run that made this call; `None` for an external request.
    pub parent_deadline: Option<Instant>,
}

impl TimeLimits {
    /// Deadline of a request.
    ///
    /// No margin is subtracted for a call made during a run: a response that comes too late for the run is of no use,
    /// and neither is a refusal.
    pub fn deadline(&self, req: &RequestLimits) -> Instant {
        let margin = match (req.caller_timeout, req.parent_deadline) {
            (Some(limit), None) => self.answer.for_limit(limit),
            _ => Duration::ZERO,
        };
        let limit = req.caller_timeout.map_or(req.route_timeout, |caller| {
            req.route_timeout.min(caller.saturating_sub(margin))
        });
        let own = req.arrived + limit;
        req.parent_deadline.map_or(own, |parent| own.min(parent))
    }

    /// Latest time until which a request that arrives now may wait for a slot.
    pub fn wait_until(&self, deadline: Instant, inner: bool, now: Instant) -> Instant {
        if inner {
            return deadline;
        }
        let margin = self
            .refusal
            .for_limit(deadline.saturating_duration_since(now));
        deadline.checked_sub(margin).unwrap_or(deadline)
    }
}
