//! What nodes tell each other about a request.

use std::time::Duration;

use super::{CrashId, Fingerprint};

/// What is known against or for a request. Merging two of them in any order, any number of times, gives the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// Targets have crashed while it was at work.
    Crashes(Crashes),
    /// A target has answered it whole; outweighs every crash, as a request that crashes each target has no answer.
    Answered,
}

/// Crashes under one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Crashes {
    /// The crashes, greatest number first; [`Crashes::MOST`] at most.
    pub ids: Vec<CrashId>,
    /// Whether it was the only suspect at work at one of them.
    pub alone: bool,
}

/// What a node has found out about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is known.
    pub evidence: Evidence,
    /// Time since the latest crash or the answer.
    pub age: Duration,
}

impl Crashes {
    /// Crashes that are told apart for one request.
    pub const MOST: usize = 8;

    /// Takes in others; `true` where there were new ones.
    ///
    /// Keeps the greatest numbers, so that all nodes keep the same ones whatever the order in which they hear of them.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = (self.ids.clone(), self.alone);
        self.ids.extend_from_slice(&other.ids);
        self.ids.sort_unstable_by(|a, b| b.cmp(a));
        self.ids.dedup();
        self.ids.truncate(Self::MOST);
        self.alone |= other.alone;
        (&self.ids, self.alone) != (&before.0, before.1)
    }
}
