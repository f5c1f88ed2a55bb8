//! Limit up to which a workspace may exceed its quota.

use std::time::Duration;

use crate::workspace::Quota;

/// Limit up to which all nodes together may exceed a quota: in any window, they may admit the quota of that window
/// including its burst, plus a share of it and a fixed number of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBound {
    /// Length of the window.
    pub window: Duration,
    /// Share of the quota that may be admitted beyond it.
    pub overage: f64,
    /// Number of requests that may be admitted in addition.
    pub slack: f64,
}

impl Default for QuotaBound {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.25,
            slack: 20.0,
        }
    }
}

impl QuotaBound {
    /// Returns the share of the quota that all entries which reach no home may admit together. It is small because
    /// homes grant the whole quota and more.
    pub(super) fn isolated_share(&self) -> f64 {
        0.4 * self.overage
    }

    /// Returns the burst that all entries together may admit while they decide without verdicts of homes.
    pub(super) fn local_burst(&self) -> f64 {
        0.05 * self.slack
    }

    /// Returns the requests per second that all homes together grant: the rate and a part of what may be admitted
    /// beyond it.
    ///
    /// Which requests are within a quota depends on their order over all nodes, which no node observes. At the bare
    /// rate, a workspace slightly beyond its quota would have requests refused that were within it, and a workspace
    /// with few requests would leave most of its slack unused.
    pub(super) fn rate(&self, quota: Quota) -> f64 {
        let extra = 0.3 * self.slack / self.window.as_secs_f64().max(0.1);
        quota.per_second * (1.0 + 0.25 * self.overage) + extra
    }

    /// Returns the unused requests that all homes together may save in addition to the burst, since a small workspace
    /// sometimes receives several requests at once by chance. The rest of the slack is for requests that entries admit
    /// before they receive a verdict.
    pub(super) fn extra_savings(&self) -> f64 {
        0.5 * self.slack
    }
}
