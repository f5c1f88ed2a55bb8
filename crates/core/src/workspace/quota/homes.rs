//! Which nodes keep the quota of a workspace.

use std::hash::{Hash, Hasher};

use crate::collections::FastHasher;

/// Nodes that keep a part of a quota each: the loss of one leaves more than the usual demand of a workspace, and a fleet cut in
/// two has homes on both sides more often than not.
pub(super) const HOMES: usize = 3;

/// The homes of a workspace among nodes with these names and failure domains, by rendezvous hashing: where one node goes,
/// only the workspaces that it was a home of get another one, and all who see the same list agree without a message.
///
/// They lie in different failure domains while there are enough: a domain that is cut off then has its part of the quota with
/// it.
///
/// The list is the published one, whether its nodes can be reached or not. By reachability each half of a fleet that is cut in
/// two would make homes for the whole quota of its own.
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
    let mut chosen: Vec<&Scored<'n>> = Vec::with_capacity(HOMES);
    for candidate in &scored {
        if chosen.iter().all(|other| other.domain != candidate.domain) {
            chosen.push(candidate);
        }
    }
    chosen.truncate(HOMES);
    let rest = scored
        .iter()
        .filter(|other| !chosen.iter().any(|home| home.node == other.node));
    let missing = HOMES.saturating_sub(chosen.len());
    let rest: Vec<_> = rest.take(missing).collect();
    chosen
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
    // The fast hasher mixes its last bytes poorly into the upper bits, by which scores are compared.
    let mut mixed = hasher.finish();
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
