//! The parsed versions that a node acts on.

use crate::collections::Map;
use crate::invariant::Invariant;

use super::{Key, Revision};

/// A parsed version with the revision that it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version<T> {
    /// Revision of the entry.
    pub revision: Revision,
    /// What the parser made of it.
    pub value: T,
}

/// A version that the parser refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected<F> {
    /// Revision of the entry.
    pub revision: Revision,
    /// Why it was refused.
    pub faults: F,
}

/// What became of a version offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Offer {
    /// The version is in force now.
    InForce,
    /// The version has faults; what was in force stays so.
    Rejected,
    /// The version was offered before.
    Unchanged,
    /// The version is older than the one in force and was refused: a defect of the caller.
    Refused(Invariant),
}

/// Per key the version in force and the last one rejected after it.
#[derive(Clone, Debug)]
pub struct InForce<T, F> {
    slots: Map<Key, Slot<T, F>>,
}

#[derive(Clone, Debug)]
struct Slot<T, F> {
    good: Option<Version<T>>,
    rejected: Option<Rejected<F>>,
}

impl<T, F> Default for InForce<T, F> {
    fn default() -> Self {
        Self {
            slots: Map::default(),
        }
    }
}

impl<T, F> InForce<T, F> {
    /// Nothing in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts what the parser made of a version in force, or records its faults.
    pub fn offer(&mut self, key: &Key, revision: Revision, parsed: Result<T, F>) -> Offer {
        let slot = self.slots.entry(key.clone()).or_insert(Slot {
            good: None,
            rejected: None,
        });
        match parsed {
            Ok(value) => slot.accept(Version { revision, value }),
            Err(faults) => slot.reject(Rejected { revision, faults }),
        }
    }

    /// The version of a key in force.
    pub fn get(&self, key: &Key) -> Option<&Version<T>> {
        self.slots.get(key)?.good.as_ref()
    }

    /// The version of a key that was rejected since the one in force.
    pub fn rejected(&self, key: &Key) -> Option<&Rejected<F>> {
        self.slots.get(key)?.rejected.as_ref()
    }

    /// Every key offered so far, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.slots.keys()
    }
}

impl<T, F> Slot<T, F> {
    fn accept(&mut self, version: Version<T>) -> Offer {
        if let Some(good) = &self.good {
            // A delayed read or push that were put in force would undo a change which its team has seen accepted. The
            // replica takes only higher revisions; this second check also holds if that one is passed by.
            if version.revision < good.revision {
                return Offer::Refused(Invariant::VersionWentBack);
            }
            if version.revision == good.revision {
                return Offer::Unchanged;
            }
        }
        // An older version, got from a peer after the newest was rejected, leaves the faults of the newest on show.
        let clears = self
            .rejected
            .as_ref()
            .is_some_and(|rejected| rejected.revision < version.revision);
        if clears {
            self.rejected = None;
        }
        self.good = Some(version);
        Offer::InForce
    }

    fn reject(&mut self, rejected: Rejected<F>) -> Offer {
        let known = self.rejected.as_ref().map(|rejected| rejected.revision);
        let in_force = self.good.as_ref().map(|good| good.revision);
        if known.max(in_force) >= Some(rejected.revision) {
            return Offer::Unchanged;
        }
        self.rejected = Some(rejected);
        Offer::Rejected
    }
}
