//! A short summary of a replica, exchanged between nodes.

use serde::{Deserialize, Serialize};

use super::Revision;

/// Summary of the versions that a node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Highest revision of any entry held.
    pub highest: Revision,
    /// Revision up to which the copy is known to be whole.
    pub complete: Revision,
    /// Number of entries held.
    pub count: u32,
    /// Sum of hashes over the key and revision of every version held.
    pub hash: u64,
}

impl Digest {
    /// Whether both summarise the same versions.
    pub fn same_versions(&self, other: &Self) -> bool {
        self.hash == other.hash && self.count == other.count && self.highest == other.highest
    }
}

/// How a peer's replica relates to one's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Comparison {
    /// Both hold the same versions.
    Same,
    /// The peer holds a higher revision: pull what it has after one's own `complete`.
    TheyAreNewer,
    /// This node holds a higher revision: push what it has after the peer's `complete`.
    WeAreNewer,
    /// The highest revisions are the same but the versions differ: send `versions` and act on [`Difference`].
    ///
    /// [`Difference`]: super::Difference
    Differ,
}
