//! How long requests of each kind hold a slot of a target.

use crate::collections::Map;

/// Names the route of a request within reports and frames; nodes compare it and know nothing else of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestKind(pub u32);

/// Learnt times by kind.
///
/// One mean over all kinds would jump with each long request: where some hold a slot for a second and most for a twentieth
/// of it, the load of the last twenty requests says little about that of the next ones.
#[derive(Clone, Debug, Default)]
pub struct Work {
    by_kind: Map<RequestKind, f64>,
    /// Mean over all kinds, for kinds that are not known yet.
    any: Option<f64>,
}

/// Time assumed before the first request has ended, in seconds.
const FIRST: f64 = 0.05;

/// Weight of the newest request in a mean: it settles within some twenty requests.
const NEWEST: f64 = 0.05;

/// Kinds that are kept; bounds memory where routes come and go.
const MOST_KINDS: usize = 1024;

impl Work {
    /// A request has held its slot for so many seconds.
    pub fn learn(&mut self, kind: RequestKind, held: f64) {
        let any = self.any.get_or_insert(held);
        *any += NEWEST * (held - *any);
        if self.by_kind.len() >= MOST_KINDS && !self.by_kind.contains_key(&kind) {
            self.by_kind.clear();
        }
        let mean = self.by_kind.entry(kind).or_insert(held);
        *mean += NEWEST * (held - *mean);
    }

    /// Seconds for which a request of this kind is expected to hold a slot.
    pub fn expected(&self, kind: RequestKind) -> f64 {
        let known = self.by_kind.get(&kind).copied();
        known.or(self.any).unwrap_or(FIRST)
    }

    /// Seconds for which a request of this kind is expected to hold a slot, where some of it have ended.
    pub fn known(&self, kind: RequestKind) -> Option<f64> {
        self.by_kind.get(&kind).copied()
    }
}
