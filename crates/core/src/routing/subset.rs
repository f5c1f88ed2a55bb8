//! The peers of a large service that one node talks to.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use super::config::RoutingConfig;
use super::peer::PeerView;
use crate::id::NodeName;

/// How near a peer is.
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

/// A candidate for the subset.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<K> {
    pub(super) key: K,
    pub(super) distance: Distance,
    /// Rendezvous weight of the pair of nodes.
    pub(super) weight: u64,
}

/// Chooses by rendezvous: the highest weights within the own failure domain, then the highest of the nearest others.
///
/// Each node draws its own subset with no message; a peer that comes or goes changes only the subsets that hold it.
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

/// Rendezvous weight of a pair of nodes.
pub(super) fn weight(node: &NodeName, peer: &NodeName) -> u64 {
    let mut hasher = FxHasher::default();
    node.as_str().hash(&mut hasher);
    peer.as_str().hash(&mut hasher);
    mix(hasher.finish())
}

/// Finaliser of MurmurHash3: similar names must get unrelated weights.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
