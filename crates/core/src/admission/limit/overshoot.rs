//! Failures that tell of more calls than the target takes.

use super::SURE;
use crate::admission::config::AdmissionConfig;
use crate::admission::window::Seen;

/// Failures in a window below which they count as chance.
const MIN_FAILURES: u32 = 4;

/// Weight of a window's share of failures in that which counts as normal, unless it is beyond that.
const NORMAL_WEIGHT: f64 = 0.05;

/// More calls than the target takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overshoot {
    /// Calls that were at the target at most.
    pub(super) used: f64,
    /// Calls that it took of these.
    pub(super) accepted: f64,
}

/// The share of calls that fail for other causes than too many calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NormalFailures {
    pub(super) share: f64,
}

impl NormalFailures {
    /// Failures beyond the normal share, as far as they are no chance.
    pub(super) fn overshoot(
        &mut self,
        cfg: &AdmissionConfig,
        limit: f64,
        seen: &Seen,
    ) -> Option<Overshoot> {
        let excess = seen.failed - self.share;
        let variance = self.share * (1.0 - self.share) / f64::from(seen.finished.max(1));
        let threshold = cfg.failure_share + SURE * variance.sqrt();
        if seen.failures < MIN_FAILURES || excess <= threshold {
            self.share += excess * NORMAL_WEIGHT;
            return None;
        }
        // Below its limit the target would have been sent more: what was in use is what counts.
        let used = limit.min(f64::from(seen.peak));
        Some(Overshoot {
            used,
            accepted: seen.accepted.ceil(),
        })
    }
}
