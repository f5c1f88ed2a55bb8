//! Outlier ejection: temporary removal of a peer after consecutive failures.

use std::time::{Duration, Instant};

use super::config::RoutingConfig;

/// Maximum number of times the initial ejection duration is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Consecutive failure count and ejection state of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Whether the peer is ejected at `now`. It is ejected_until without a probe once the ejection expires.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// End of the last ejection, past or future.
    pub(super) fn ejected_until(&self) -> Option<Instant> {
        self.until
    }

    /// Counts a failure; returns true if the peer has reached the ejection threshold.
    pub(super) fn record_failure(&mut self, cfg: &RoutingConfig) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= cfg.ejection_failures.max(1)
    }

    /// Resets the failure count and the ejection backoff.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Ejects the peer. A single failure after readmission ejects it again, for twice as long.
    pub(super) fn eject(&mut self, cfg: &RoutingConfig, now: Instant) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let length: Duration = cfg.ejection_time.saturating_mul(1 << doublings);
        self.until = Some(now + length.min(cfg.ejection_max));
        self.ejections += 1;
        self.failures = cfg.ejection_failures.saturating_sub(1);
    }
}
