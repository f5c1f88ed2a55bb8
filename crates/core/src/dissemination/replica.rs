//! The copy of the published entries that every node holds.

mod compare;
mod slot;

use std::collections::{BTreeSet, VecDeque};

use crate::collections::{Map, Set};

use super::{Entry, Key, Revision};

use compare::Settled;
use slot::Slot;

pub use compare::Difference;
pub use slot::Verdict;

/// Revisions above `complete` that are remembered, so that pushes which arrive out of order still close the gap.
const AHEAD_KEPT: usize = 4096;

/// A version that a replica has just taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The version; to be parsed and its verdict given to [`Replica::judge`].
    pub entry: Entry,
    /// Whether it is the newest version of its key; if not, it is the one to fall back to.
    pub newest: bool,
}

/// A copy of the published entries; of each key only higher revisions are ever taken.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    slots: Map<Key, Slot>,
    highest: Revision,
    complete: Revision,
    ahead: BTreeSet<Revision>,
    hash: u64,
    settled: VecDeque<Settled>,
    stale: u64,
    conflicts: u64,
}

impl Replica {
    /// An empty copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes entries that were read, pulled or pushed.
    ///
    /// `highest` is given where the batch holds every entry above [`Replica::complete`] up to that revision: a read of
    /// the platform after `complete`, or the last part of a peer's [`Replica::since`] with the peer's `complete`. It is
    /// `None` for pushes. Each version returned must be judged, in the order of the result, before the next batch is applied.
    pub fn apply(&mut self, entries: Vec<Entry>, highest: Option<Revision>) -> Vec<Applied> {
        let mut applied = Vec::new();
        // In order of revision, so that verdicts given in the order of the result never go from a higher valid version to
        // a lower one.
        for entry in sorted(entries) {
            self.note(entry.revision);
            applied.extend(self.take(entry));
        }
        if let Some(highest) = highest {
            self.complete = self.complete.max(highest);
        }
        self.close_gaps();
        applied
    }

    /// Records whether a version could be put in force, so that a node that comes later can be given the one that is.
    pub fn judge(&mut self, key: &Key, revision: Revision, verdict: Verdict) {
        self.change(key, |slot| slot.judge(revision, verdict));
    }

    /// Bytes of all keys and values held.
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

    /// The revision up to which the copy is known to be whole; reads of the platform and pulls ask for what is after it.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// Number of versions that came late and were ignored.
    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// Number of versions that came with a known revision and another text, which no correct platform publishes.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Everything above a revision, in order of revision, with the versions in force behind invalid ones.
    pub fn since(&self, after: Revision) -> Vec<Entry> {
        let newer = self
            .slots
            .values()
            .filter(|slot| slot.latest().revision > after);
        sorted(newer.flat_map(Slot::entries).cloned().collect())
    }

    /// What this node holds of some keys, to answer a pull.
    pub fn pick(&self, keys: &[Key]) -> Vec<Entry> {
        let keys: Set<&Key> = keys.iter().collect();
        let slots = keys.into_iter().filter_map(|key| self.slots.get(key));
        sorted(slots.flat_map(Slot::entries).cloned().collect())
    }

    fn take(&mut self, entry: Entry) -> Option<Applied> {
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
        let taken = self.change(&key, |slot| slot.take(entry.clone()))?;
        match taken {
            slot::Taken::Newest => {
                self.highest = self.highest.max(revision);
                Some(Applied {
                    entry,
                    newest: true,
                })
            }
            slot::Taken::Fallback => Some(Applied {
                entry,
                newest: false,
            }),
            slot::Taken::Stale => {
                self.stale += 1;
                None
            }
            slot::Taken::Conflict => {
                self.conflicts += 1;
                None
            }
        }
    }

    /// Changes a slot and keeps the hash over all slots in step.
    fn change<T, F>(&mut self, key: &Key, change: F) -> Option<T>
    where
        F: FnOnce(&mut Slot) -> T,
    {
        let slot = self.slots.get_mut(key)?;
        let before = slot.hash();
        let result = change(slot);
        self.hash = self.hash.wrapping_sub(before).wrapping_add(slot.hash());
        Some(result)
    }

    fn note(&mut self, revision: Revision) {
        if revision > self.complete && self.ahead.len() < AHEAD_KEPT {
            self.ahead.insert(revision);
        }
    }

    /// Raises `complete` over revisions that were pushed one by one: each write has one revision and one entry.
    ///
    /// Raising it to any revision pushed would skip a lost push for good, seen as a document that stays old at one node:
    /// reads and pulls ask only for what comes after `complete`.
    fn close_gaps(&mut self) {
        while self.ahead.remove(&self.complete.next()) {
            self.complete = self.complete.next();
        }
        self.ahead = self.ahead.split_off(&self.complete.next());
    }
}

fn sorted(mut entries: Vec<Entry>) -> Vec<Entry> {
    entries.sort_unstable_by_key(|entry| entry.revision);
    entries
}
