//! How two replicas find out what they can give each other.

use std::cmp::Ordering;

use crate::collections::Map;
use crate::dissemination::{Comparison, Digest, Key, KeyVersion};

use super::Replica;
use super::slot::Slot;

/// Digests of peers that are remembered as holding nothing new.
const SETTLED_KEPT: usize = 32;

/// What two nodes with different digests can give each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Keys to pull from the peer.
    pub wanted: Vec<Key>,
    /// Keys to push to the peer.
    pub lacking: Vec<Key>,
}

/// Hashes of two digests that differ without either side lacking anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Settled {
    ours: u64,
    theirs: u64,
}

impl Replica {
    /// The summary to send to peers.
    pub fn digest(&self) -> Digest {
        Digest {
            highest: self.highest,
            complete: self.complete,
            count: self.slots.len().try_into().unwrap_or(u32::MAX),
            hash: self.hash,
        }
    }

    /// How a peer's replica relates to this one.
    pub fn compare(&self, theirs: &Digest) -> Comparison {
        let ours = self.digest();
        let settled = Settled {
            ours: ours.hash,
            theirs: theirs.hash,
        };
        if ours.same_versions(theirs) || self.settled.contains(&settled) {
            return Comparison::Same;
        }
        match theirs.highest.cmp(&ours.highest) {
            Ordering::Greater => Comparison::PeerIsNewer,
            Ordering::Less => Comparison::PeerIsOlder,
            Ordering::Equal => Comparison::Differ,
        }
    }

    /// The versions held, in order of key.
    pub fn versions(&self) -> Vec<KeyVersion> {
        let mut versions: Vec<KeyVersion> = self.slots.values().map(Slot::version).collect();
        versions.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        versions
    }

    /// What to exchange with a peer whose digest differs at the same highest revision.
    ///
    /// Where that is nothing, its digest counts as the same from then on. Nodes of two releases may judge a version
    /// differently; they would send each other all versions at every digest, seen as control traffic past its bound.
    pub fn difference(&mut self, digest: &Digest, theirs: &[KeyVersion]) -> Difference {
        let wanted = self.missing(theirs);
        let lacking = self.missing_there(theirs);
        if wanted.is_empty() && lacking.is_empty() {
            self.settled.truncate(SETTLED_KEPT - 1);
            self.settled.push_front(Settled {
                ours: self.hash,
                theirs: digest.hash,
            });
        }
        Difference { wanted, lacking }
    }

    /// The keys of which a peer holds something that this node lacks.
    pub fn missing(&self, theirs: &[KeyVersion]) -> Vec<Key> {
        theirs
            .iter()
            .filter(|version| {
                self.slots
                    .get(&version.key)
                    .is_none_or(|slot| slot.lacks(version))
            })
            .map(|version| version.key.clone())
            .collect()
    }

    /// The keys of which this node holds something that a peer with these versions lacks.
    pub fn missing_there(&self, theirs: &[KeyVersion]) -> Vec<Key> {
        let known: Map<&Key, &KeyVersion> = theirs
            .iter()
            .map(|version| (&version.key, version))
            .collect();
        let lacks = |slot: &&Slot| {
            known
                .get(&slot.latest().key)
                .is_none_or(|version| slot.is_ahead_of(version))
        };
        self.slots
            .values()
            .filter(lacks)
            .map(|slot| slot.latest().key.clone())
            .collect()
    }
}
