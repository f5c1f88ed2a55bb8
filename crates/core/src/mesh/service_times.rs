//! Mean service time of each kind of request at a target.

use crate::collections::Map;

/// Identifies the route of a request in reports and frames. Nodes only compare it; it carries no other meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestKind(pub u32);

/// Moving averages of the service time by kind.
///
/// A single mean over all kinds would jump with each long request: if a few requests hold a slot for a second and most
/// for a twentieth of it, the load of the last twenty requests says little about that of the next ones.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_kind: Map<RequestKind, f64>,
    /// Mean over all kinds, used for kinds without samples.
    overall: Option<f64>,
}

/// Service time assumed before the first sample, in seconds.
const DEFAULT_SERVICE_TIME: f64 = 0.05;

/// Weight of a new sample in a moving average, which settles within about twenty requests.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Maximum number of kinds tracked; bounds memory when routes are added and removed.
const MAX_KINDS: usize = 1024;

impl ServiceTimes {
    /// Records that a request has held its slot for `held` seconds.
    pub fn record(&mut self, kind: RequestKind, held: f64) {
        let overall = self.overall.get_or_insert(held);
        *overall += SAMPLE_WEIGHT * (held - *overall);
        if self.by_kind.len() >= MAX_KINDS && !self.by_kind.contains_key(&kind) {
            self.by_kind.clear();
        }
        let mean = self.by_kind.entry(kind).or_insert(held);
        *mean += SAMPLE_WEIGHT * (held - *mean);
    }

    /// Expected service time of a kind in seconds: its own mean, the mean over all kinds, or a default.
    pub fn expected(&self, kind: RequestKind) -> f64 {
        let mean = self.by_kind.get(&kind).copied();
        mean.or(self.overall).unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// Mean service time over all kinds in seconds, or a default without samples.
    pub fn overall(&self) -> f64 {
        self.overall.unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// Mean service time of a kind in seconds, or `None` without samples of that kind.
    pub fn mean(&self, kind: RequestKind) -> Option<f64> {
        self.by_kind.get(&kind).copied()
    }
}
