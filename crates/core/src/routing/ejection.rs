//! Ejection of a peer after failures in a row.

use std::time::{Duration, Instant};

use super::config::RoutingConfig;

/// Most doublings of the first ejection's length.
const MAX_DOUBLINGS: u32 = 16;

/// Failures in a row of one peer, and its ejection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Whether the peer is ejected at `now`; afterwards it is readmitted without further ado.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the last ejection ended or will end.
    pub(super) fn readmitted(&self) -> Option<Instant> {
        self.until
    }

    /// Counts a failure; true where the peer is due for ejection.
    pub(super) fn failed(&mut self, cfg: &RoutingConfig) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= cfg.ejection_failures.max(1)
    }

    /// Counts a success: ends the row, and after a success the next ejection is short again.
    pub(super) fn served(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Ejects the peer; one more failure after readmission ejects it again, for twice as long.
    pub(super) fn eject(&mut self, cfg: &RoutingConfig, now: Instant) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let length: Duration = cfg.ejection_time.saturating_mul(1 << doublings);
        self.until = Some(now + length.min(cfg.ejection_max));
        self.ejections += 1;
        self.failures = cfg.ejection_failures.saturating_sub(1);
    }
}
