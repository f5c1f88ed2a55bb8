//! The peers of one service.

use super::peer::PeerKey;
use super::subset::{Candidate, Distance};

/// Members of a service and the subset of them that this node talks to.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    /// All listed peers.
    pub(super) members: Vec<PeerKey>,
    /// The subset, nearest first.
    pub(super) subset: Vec<SubsetMember>,
}

/// A member of a subset.
#[derive(Clone, Copy, Debug)]
pub(super) struct SubsetMember {
    pub(super) key: PeerKey,
    pub(super) distance: Distance,
}

impl From<Candidate<PeerKey>> for SubsetMember {
    fn from(candidate: Candidate<PeerKey>) -> Self {
        Self {
            key: candidate.key,
            distance: candidate.distance,
        }
    }
}
