//! Replica of the published entries that every node holds.

mod compare;
mod slot;

use std::collections::{BTreeSet, VecDeque};

use crate::collections::{Map, Set};

use super::{Entry, Key, Revision};

use compare::EquivalentDigests;
use slot::{InsertOutcome, Slot};

pub use compare::Difference;
pub use slot::ValidationResult;

/// Maximum number of revisions above `complete` that are remembered. Pushes that arrive out of order can then still
/// close the gap.
const MAX_REVISIONS_AHEAD: usize = 4096;

/// A version that was added to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The version. The caller must validate it and call [`Replica::record_validation`].
    pub entry: Entry,
    /// Whether this is the newest version of its key. If not, it is a candidate to fall back to.
    pub newest: bool,
}

/// A replica of the published entries. The newest version of a key is only replaced by higher revisions.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    slots: Map<Key, Slot>,
    highest: Revision,
    complete: Revision,
    ahead: BTreeSet<Revision>,
    hash: u64,
    equivalent_digests: VecDeque<EquivalentDigests>,
    stale_count: u64,
    conflict_count: u64,
}

impl Replica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies entries that were read, pulled or pushed.
    ///
    /// `highest` is set if the batch contains every entry above [`Replica::complete`] up to that revision: for a read
    /// of the platform after `complete`, or for the last part of a peer's [`Replica::entries_since`] with the peer's
    /// `complete`. It is `None` for pushes. The caller must validate each returned version, in order, before it applies
    /// the next batch.
    pub fn apply(&mut self, entries: Vec<Entry>, highest: Option<Revision>) -> Vec<Applied> {
        let mut applied = Vec::new();
        // Sorted by revision, so that validation in the returned order never goes from a higher valid version to a
        // lower one.
        for entry in sorted_by_revision(entries) {
            self.record_revision(entry.revision);
            applied.extend(self.insert(entry));
        }
        if let Some(highest) = highest {
            self.complete = self.complete.max(highest);
        }
        self.close_gaps();
        applied
    }

    /// Records whether a version is valid. Nodes that join later then also receive the version in force.
    pub fn record_validation(&mut self, key: &Key, revision: Revision, result: ValidationResult) {
        self.update_slot(key, |slot| slot.record_validation(revision, result));
    }

    /// Total size in bytes of all keys and values held.
    pub fn bytes(&self) -> usize {
        let entries = self.slots.values().flat_map(Slot::entries);
        entries
            .map(|entry| entry.key.0.len() + entry.value.len())
            .sum()
    }

    /// The newest version of a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.slots.get(key).map(Slot::latest)
    }

    /// The highest revision that this node knows of.
    pub fn revision(&self) -> Revision {
        self.highest.max(self.complete)
    }

    /// The revision up to which the replica has no gaps. Reads of the platform and pulls request the entries after it.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// Number of versions ignored because they were already known or superseded.
    pub fn stale_count(&self) -> u64 {
        self.stale_count
    }

    /// Number of versions that had a known revision but a different value. A correct platform never publishes these.
    pub fn conflict_count(&self) -> u64 {
        self.conflict_count
    }

    /// All entries whose newest version is above a revision, with the versions in force where the newest is invalid.
    /// Sorted by revision.
    pub fn entries_since(&self, after: Revision) -> Vec<Entry> {
        let newer = self
            .slots
            .values()
            .filter(|slot| slot.latest().revision > after);
        sorted_by_revision(newer.flat_map(Slot::entries).cloned().collect())
    }

    /// All versions held of the given keys, to answer a pull. Sorted by revision.
    pub fn entries_for(&self, keys: &[Key]) -> Vec<Entry> {
        let keys: Set<&Key> = keys.iter().collect();
        let slots = keys.into_iter().filter_map(|key| self.slots.get(key));
        sorted_by_revision(slots.flat_map(Slot::entries).cloned().collect())
    }

    fn insert(&mut self, entry: Entry) -> Option<Applied> {
        let revision = entry.revision;
        let key = entry.key.clone();
        if !self.slots.contains_key(&key) {
            self.highest = self.highest.max(revision);
            let slot = Slot::new(entry.clone());
            self.hash = self.hash.wrapping_add(slot.hash());
            self.slots.insert(key, slot);
            return Some(Applied {
                entry,
                newest: true,
            });
        }
        let outcome = self.update_slot(&key, |slot| slot.insert(entry.clone()))?;
        match outcome {
            InsertOutcome::Newest => {
                self.highest = self.highest.max(revision);
                Some(Applied {
                    entry,
                    newest: true,
                })
            }
            InsertOutcome::Fallback => Some(Applied {
                entry,
                newest: false,
            }),
            InsertOutcome::Stale => {
                self.stale_count += 1;
                None
            }
            InsertOutcome::Conflict => {
                self.conflict_count += 1;
                None
            }
        }
    }

    /// Updates a slot and adjusts the hash of the replica accordingly.
    fn update_slot<T, F>(&mut self, key: &Key, update: F) -> Option<T>
    where
        F: FnOnce(&mut Slot) -> T,
    {
        let slot = self.slots.get_mut(key)?;
        let before = slot.hash();
        let result = update(slot);
        self.hash = self.hash.wrapping_sub(before).wrapping_add(slot.hash());
        Some(result)
    }

    fn record_revision(&mut self, revision: Revision) {
        if revision > self.complete && self.ahead.len() < MAX_REVISIONS_AHEAD {
            self.ahead.insert(revision);
        }
    }

    /// Advances `complete` over contiguous revisions that were pushed individually. Each write has one revision and one
    /// entry.
    ///
    /// Advancing it to an arbitrary pushed revision would skip lost pushes permanently, since reads and pulls only
    /// request entries after `complete`. A document would then stay outdated on one node.
    fn close_gaps(&mut self) {
        while self.ahead.remove(&self.complete.next()) {
            self.complete = self.complete.next();
        }
        self.ahead = self.ahead.split_off(&self.complete.next());
    }
}

fn sorted_by_revision(mut entries: Vec<Entry>) -> Vec<Entry> {
    entries.sort_unstable_by_key(|entry| entry.revision);
    entries
}
