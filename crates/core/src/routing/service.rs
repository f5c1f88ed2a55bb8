//! The peers of one service.

use super::peer::PeerKey;
use super::subset::{Candidate, Distance};

/// Listed peers of a service and the subset of them that this node calls.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    /// All listed peers.
    pub(super) members: Vec<PeerKey>,
    /// Peers that this node calls, nearest first.
    pub(super) subset: Vec<SubsetMember>,
}

/// A subset member and its distance from this node.
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
