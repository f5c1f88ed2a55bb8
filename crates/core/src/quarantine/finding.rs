//! Evidence about a request, as exchanged between nodes.

use std::time::Duration;

use super::{CrashId, Fingerprint};

/// Evidence against or for a request. Merging is commutative, associative and idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// Targets have crashed while running the request.
    Crashes(Crashes),
    /// A target has answered the request completely. Overrides all crashes, because a request that crashes every target
    /// never gets a response.
    Answered,
}

/// The crashes in which a request is a suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Crashes {
    /// Ids of the crashes in descending order, at most [`Crashes::MAX_IDS`].
    pub ids: Vec<CrashId>,
    /// Whether the request was the sole suspect in at least one crash.
    pub sole_suspect: bool,
}

/// The evidence that a node has about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Evidence against or for the request.
    pub evidence: Evidence,
    /// Time since the latest crash or the answer.
    pub age: Duration,
}

impl Crashes {
    /// Maximum number of distinct crashes recorded for a request.
    pub const MAX_IDS: usize = 8;

    /// Merges other crashes into these; returns whether anything changed.
    ///
    /// Keeps the greatest ids, so that all nodes keep the same ones regardless of the order in which they receive them.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = (self.ids.clone(), self.sole_suspect);
        self.ids.extend_from_slice(&other.ids);
        self.ids.sort_unstable_by(|a, b| b.cmp(a));
        self.ids.dedup();
        self.ids.truncate(Self::MAX_IDS);
        self.sole_suspect |= other.sole_suspect;
        (&self.ids, self.sole_suspect) != (&before.0, before.1)
    }
}
