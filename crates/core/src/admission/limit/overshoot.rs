//! Detects failures caused by sending more calls than the target accepts.

use super::SIGNIFICANT_ERRORS;
use crate::admission::config::AdmissionConfig;
use crate::admission::window::WindowSummary;

/// Number of early failures in a window below which they are treated as noise.
const MIN_FAILURES: u32 = 4;

/// Weight of a window without an overshoot in the normal failure share.
const NORMAL_WEIGHT: f64 = 0.05;

/// A window in which the target was sent more calls than it accepts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overshoot {
    /// Peak number of calls at the target, at most the limit.
    pub(super) used: f64,
    /// Number of concurrent calls that the target accepted.
    pub(super) accepted: f64,
}

/// Share of calls that fail early for reasons other than an overshoot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NormalFailures {
    pub(super) share: f64,
}

impl NormalFailures {
    /// Returns an overshoot if early failures exceed the normal share significantly; otherwise updates that share.
    pub(super) fn overshoot(
        &mut self,
        cfg: &AdmissionConfig,
        limit: f64,
        summary: &WindowSummary,
    ) -> Option<Overshoot> {
        let excess = summary.failed - self.share;
        let variance = self.share * (1.0 - self.share) / f64::from(summary.finished.max(1));
        let threshold = cfg.failure_share + SIGNIFICANT_ERRORS * variance.sqrt();
        if summary.failures < MIN_FAILURES || excess <= threshold {
            self.share += excess * NORMAL_WEIGHT;
            return None;
        }
        // The limit may not have been reached, so the calls in use are what the target was actually sent.
        let used = limit.min(f64::from(summary.peak));
        Some(Overshoot {
            used,
            accepted: summary.accepted.ceil(),
        })
    }
}
