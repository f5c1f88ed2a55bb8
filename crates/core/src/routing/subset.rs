//! Deterministic subsetting: limits how many peers of a large service one node calls.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use super::config::RoutingConfig;
use super::peer::PeerView;
use crate::id::NodeName;

/// Network distance of a peer, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    /// Same failure domain.
    Domain,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

impl Distance {
    pub(super) fn of(cfg: &RoutingConfig, view: &PeerView) -> Self {
        if view.domain == cfg.domain && view.region == cfg.region {
            return Self::Domain;
        }
        if view.region == cfg.region {
            Self::Region
        } else {
            Self::Far
        }
    }
}

/// A candidate for subset selection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<K> {
    pub(super) key: K,
    pub(super) distance: Distance,
    /// Rendezvous hash of the local node and the peer.
    pub(super) weight: u64,
}

/// Selects the subset by rendezvous hashing: the highest weights in the local failure domain, then the highest weights
/// in the nearest other failure domains.
///
/// Nodes choose their subsets without coordination. A peer that joins or leaves changes only the subsets containing it.
pub(super) fn choose<K>(
    cfg: &RoutingConfig,
    mut candidates: Vec<Candidate<K>>,
) -> Vec<Candidate<K>> {
    candidates.sort_by_key(|candidate| (candidate.distance, std::cmp::Reverse(candidate.weight)));
    let near = candidates
        .iter()
        .filter(|c| c.distance == Distance::Domain)
        .count();
    let taken_near = near.min(cfg.subset_near);
    let taken_far = cfg
        .subset_far
        .max(cfg.subset_min.saturating_sub(taken_near));
    candidates.drain(taken_near..near);
    candidates.truncate(taken_near + taken_far);
    candidates
}

/// Rendezvous hash of a pair of nodes.
pub(super) fn weight(node: &NodeName, peer: &NodeName) -> u64 {
    let mut hasher = FxHasher::default();
    node.as_str().hash(&mut hasher);
    peer.as_str().hash(&mut hasher);
    fmix64(hasher.finish())
}

/// MurmurHash3 finalizer, so that similar names get uncorrelated weights.
fn fmix64(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
