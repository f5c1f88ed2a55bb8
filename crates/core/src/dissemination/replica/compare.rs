//! Comparison of two replicas to determine which versions each one lacks.

use std::cmp::Ordering;

use crate::collections::Map;
use crate::dissemination::{Comparison, Digest, Key, KeyVersion};

use super::Replica;
use super::slot::Slot;

/// Maximum number of equivalent digest pairs remembered.
const MAX_EQUIVALENT_DIGESTS: usize = 32;

/// Entries to exchange between two nodes whose digests differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Keys to pull from the peer.
    pub to_pull: Vec<Key>,
    /// Keys to push to the peer.
    pub to_push: Vec<Key>,
}

/// Hashes of two digests that differ although neither replica lacks a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EquivalentDigests {
    local: u64,
    peer: u64,
}

impl Replica {
    /// Summary of this replica, to send to peers.
    pub fn digest(&self) -> Digest {
        Digest {
            highest: self.highest,
            complete: self.complete,
            count: self.slots.len().try_into().unwrap_or(u32::MAX),
            hash: self.hash,
        }
    }

    /// Compares the digest of a peer with the local one.
    pub fn compare(&self, peer: &Digest) -> Comparison {
        let local = self.digest();
        let hashes = EquivalentDigests {
            local: local.hash,
            peer: peer.hash,
        };
        if local.same_versions(peer) || self.equivalent_digests.contains(&hashes) {
            return Comparison::Same;
        }
        match peer.highest.cmp(&local.highest) {
            Ordering::Greater => Comparison::PeerIsNewer,
            Ordering::Less => Comparison::PeerIsOlder,
            Ordering::Equal => Comparison::Differ,
        }
    }

    /// The versions held, sorted by key.
    pub fn versions(&self) -> Vec<KeyVersion> {
        let mut versions: Vec<KeyVersion> = self.slots.values().map(Slot::version).collect();
        versions.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        versions
    }

    /// Determines what to exchange with a peer whose digest differs at the same highest revision.
    ///
    /// If there is nothing to exchange, the two digests compare as the same from then on. Nodes of different releases
    /// may disagree on whether a version is valid. They would otherwise exchange their version lists after every digest
    /// and exceed the limit on control traffic.
    pub fn difference(&mut self, peer_digest: &Digest, peer_versions: &[KeyVersion]) -> Difference {
        let to_pull = self.missing_locally(peer_versions);
        let to_push = self.missing_at_peer(peer_versions);
        if to_pull.is_empty() && to_push.is_empty() {
            self.equivalent_digests.truncate(MAX_EQUIVALENT_DIGESTS - 1);
            self.equivalent_digests.push_front(EquivalentDigests {
                local: self.hash,
                peer: peer_digest.hash,
            });
        }
        Difference { to_pull, to_push }
    }

    /// Keys of which the peer holds a version that this node lacks.
    pub fn missing_locally(&self, peer_versions: &[KeyVersion]) -> Vec<Key> {
        peer_versions
            .iter()
            .filter(|version| {
                self.slots
                    .get(&version.key)
                    .is_none_or(|slot| slot.lacks(version))
            })
            .map(|version| version.key.clone())
            .collect()
    }

    /// Keys of which this node holds a version that the peer lacks.
    pub fn missing_at_peer(&self, peer_versions: &[KeyVersion]) -> Vec<Key> {
        let by_key: Map<&Key, &KeyVersion> = peer_versions
            .iter()
            .map(|version| (&version.key, version))
            .collect();
        let peer_lacks = |slot: &&Slot| {
            by_key
                .get(&slot.latest().key)
                .is_none_or(|version| slot.is_ahead_of(version))
        };
        self.slots
            .values()
            .filter(peer_lacks)
            .map(|slot| slot.latest().key.clone())
            .collect()
    }
}
