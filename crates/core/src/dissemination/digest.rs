//! Compact summary of a replica that nodes exchange to detect differences.

use serde::{Deserialize, Serialize};

use super::Revision;

/// Summary of the versions that a node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Highest revision of any entry held.
    pub highest: Revision,
    /// Revision up to which the replica has no gaps.
    pub complete: Revision,
    /// Number of entries held.
    pub count: u32,
    /// Wrapping sum of the hashes of each key with its revisions.
    pub hash: u64,
}

impl Digest {
    /// Whether both digests summarize the same versions.
    pub fn same_versions(&self, other: &Self) -> bool {
        self.hash == other.hash && self.count == other.count && self.highest == other.highest
    }
}

/// Result of comparing a peer's digest with the local one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Comparison {
    /// Both nodes hold the same versions.
    Same,
    /// The peer holds a higher revision: pull its entries after the local `complete`.
    PeerIsNewer,
    /// The local node holds a higher revision: push its entries after the peer's `complete`.
    PeerIsOlder,
    /// The highest revisions are equal but the versions differ: exchange `versions` and resolve the [`Difference`].
    ///
    /// [`Difference`]: super::Difference
    Differ,
}
