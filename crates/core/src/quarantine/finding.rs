//! Evidence about a request, as exchanged between nodes.

use std::time::Duration;

use super::{CrashSet, Fingerprint};

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
    /// All of them.
    pub ids: CrashSet,
    /// Number of times that crashes ended probes, which are runs of the request while it was isolated. Probes at several
    /// targets that end within [`super::QuarantineConfig::probe_spacing`] count once, as one outage may end them all.
    pub failed_probes: u32,
    /// Whether targets had answered the request recently.
    pub answered_before: bool,
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
    /// Merges other crashes into these; returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = self.ids.merge(&other.ids);
        changed |= other.failed_probes > self.failed_probes;
        changed |= other.answered_before && !self.answered_before;
        self.failed_probes = self.failed_probes.max(other.failed_probes);
        self.answered_before |= other.answered_before;
        changed
    }
}
