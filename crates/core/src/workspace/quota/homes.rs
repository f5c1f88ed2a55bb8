//! Assignment of the homes that enforce the quota of a workspace.

use std::hash::{Hash, Hasher};

use crate::collections::FastHasher;

/// Number of homes of a workspace, each of which enforces an equal part of its quota. Without one of them, the
/// remaining parts still exceed the usual demand of a workspace, and a fleet that is partitioned in two usually has
/// homes on both sides.
pub(super) const HOMES: usize = 3;

/// Selects the homes of a workspace among nodes given by name and failure domain.
///
/// Rendezvous hashing is used: if a node is removed, only the workspaces that it was a home of get another one, and all
/// nodes with the same list agree without communication.
///
/// Homes are in different failure domains if there are enough of them, so that a domain that is partitioned off
/// has only one part of the quota.
///
/// Nodes are taken from the published list, whether they are reachable or not. If reachability counted, each half of a
/// partitioned fleet would select homes for the whole quota.
pub fn homes_of<'n, I>(workspace: &str, nodes: I) -> Vec<&'n str>
where
    I: IntoIterator<Item = (&'n str, &'n str)>,
{
    let mut scored: Vec<Scored<'n>> = nodes
        .into_iter()
        .map(|(node, domain)| Scored {
            score: score(workspace, node),
            node,
            domain,
        })
        .collect();
    scored.sort_unstable_by(|a, b| (b.score, b.node).cmp(&(a.score, a.node)));
    let mut homes: Vec<&Scored<'n>> = Vec::with_capacity(HOMES);
    for candidate in &scored {
        if homes.iter().all(|home| home.domain != candidate.domain) {
            homes.push(candidate);
        }
    }
    homes.truncate(HOMES);
    let rest = scored
        .iter()
        .filter(|other| !homes.iter().any(|home| home.node == other.node));
    let missing = HOMES.saturating_sub(homes.len());
    let rest: Vec<_> = rest.take(missing).collect();
    homes
        .into_iter()
        .chain(rest)
        .map(|home| home.node)
        .collect()
}

struct Scored<'n> {
    score: u64,
    node: &'n str,
    domain: &'n str,
}

fn score(workspace: &str, node: &str) -> u64 {
    let mut hasher = FastHasher::default();
    (workspace, node).hash(&mut hasher);
    // The fast hasher mixes its last bytes poorly into the upper bits, which dominate the comparison of scores.
    let mut mixed = hasher.finish();
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
