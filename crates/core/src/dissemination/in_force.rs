//! The parsed version of each entry that a node currently applies.

use crate::collections::Map;
use crate::invariant::Invariant;

use super::{Key, Revision};

/// A parsed version of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version<T> {
    /// Revision of the entry.
    pub revision: Revision,
    /// Parsed value.
    pub value: T,
}

/// A version that the parser rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected<F> {
    /// Revision of the entry.
    pub revision: Revision,
    /// Faults found by the parser.
    pub faults: F,
}

/// Outcome of [`VersionsInForce::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OfferOutcome {
    /// The version is now in force.
    InForce,
    /// The version has faults. The previous version stays in force.
    Rejected,
    /// The version was already offered, or is invalid and not newer than the versions known.
    Unchanged,
    /// The version is older than the one in force and was refused. Indicates a bug in the caller.
    Refused(Invariant),
}

/// The version in force of each key and the newest version rejected since.
#[derive(Clone, Debug)]
pub struct VersionsInForce<T, F> {
    slots: Map<Key, Slot<T, F>>,
}

#[derive(Clone, Debug)]
struct Slot<T, F> {
    in_force: Option<Version<T>>,
    rejected: Option<Rejected<F>>,
}

impl<T, F> Default for VersionsInForce<T, F> {
    fn default() -> Self {
        Self {
            slots: Map::default(),
        }
    }
}

impl<T, F> VersionsInForce<T, F> {
    /// Creates an empty set, with no version in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a parsed version in force, or records the faults of an invalid one.
    pub fn offer(&mut self, key: &Key, revision: Revision, parsed: Result<T, F>) -> OfferOutcome {
        let slot = self.slots.entry(key.clone()).or_insert(Slot {
            in_force: None,
            rejected: None,
        });
        match parsed {
            Ok(value) => slot.accept(Version { revision, value }),
            Err(faults) => slot.reject(Rejected { revision, faults }),
        }
    }

    /// The version of a key that is in force.
    pub fn get(&self, key: &Key) -> Option<&Version<T>> {
        self.slots.get(key)?.in_force.as_ref()
    }

    /// The newest rejected version of a key that is newer than the version in force.
    pub fn rejected(&self, key: &Key) -> Option<&Rejected<F>> {
        self.slots.get(key)?.rejected.as_ref()
    }

    /// Every key offered so far, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.slots.keys()
    }
}

impl<T, F> Slot<T, F> {
    fn accept(&mut self, version: Version<T>) -> OfferOutcome {
        if let Some(in_force) = &self.in_force {
            // Applying a delayed read or push would undo a change that the team that made it has seen accepted. The
            // replica already takes only higher revisions; this check also covers callers that bypass it.
            if version.revision < in_force.revision {
                return OfferOutcome::Refused(Invariant::VersionWentBack);
            }
            if version.revision == in_force.revision {
                return OfferOutcome::Unchanged;
            }
        }
        // An older version fetched from a peer after the newest one was rejected must not hide the faults of the
        // newest.
        let supersedes_rejected = self
            .rejected
            .as_ref()
            .is_some_and(|rejected| rejected.revision < version.revision);
        if supersedes_rejected {
            self.rejected = None;
        }
        self.in_force = Some(version);
        OfferOutcome::InForce
    }

    fn reject(&mut self, rejected: Rejected<F>) -> OfferOutcome {
        let last_rejected = self.rejected.as_ref().map(|last| last.revision);
        let in_force = self.in_force.as_ref().map(|version| version.revision);
        if last_rejected.max(in_force) >= Some(rejected.revision) {
            return OfferOutcome::Unchanged;
        }
        self.rejected = Some(rejected);
        OfferOutcome::Rejected
    }
}
