//! Versions of one key held by a replica.

use crate::dissemination::rendezvous::weight;
use crate::dissemination::{Entry, KeyVersion, Revision};

/// Result of validating a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ValidationResult {
    /// The version is valid and was put in force.
    Valid,
    /// The version has faults and was rejected.
    Invalid,
}

/// Outcome of [`Slot::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InsertOutcome {
    /// The version is the newest one of its key.
    Newest,
    /// The version is older than the newest one, but may be the one to fall back to.
    Fallback,
    /// The version is already known or superseded.
    Stale,
    /// The version has the revision of the newest one but differs from it.
    Conflict,
}

/// Maximum number of older versions per key that await validation.
const MAX_UNVALIDATED: usize = 4;

/// The newest version of a key and, until that one is found valid, the highest valid version before it.
///
/// Otherwise a node that starts while the newest version is invalid would receive only that version and have none in
/// force: the service would lack a document on new nodes only.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    latest: Entry,
    /// Validation result of `latest`.
    validation: Option<ValidationResult>,
    /// The highest version below `latest` known to be valid.
    last_valid: Option<Entry>,
    /// Versions between `last_valid` and `latest` that are not validated yet. They replace `last_valid` only once found
    /// valid: replacing it by an invalid version would leave no fallback to send to peers.
    unvalidated: Vec<Entry>,
}

impl Slot {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            latest: entry,
            validation: None,
            last_valid: None,
            unvalidated: Vec::new(),
        }
    }

    pub(super) fn latest(&self) -> &Entry {
        &self.latest
    }

    pub(super) fn insert(&mut self, entry: Entry) -> InsertOutcome {
        if entry.revision > self.latest.revision {
            self.replace(entry);
            return InsertOutcome::Newest;
        }
        if entry.revision == self.latest.revision {
            return if entry == self.latest {
                InsertOutcome::Stale
            } else {
                InsertOutcome::Conflict
            };
        }
        let is_superseded = self
            .last_valid
            .as_ref()
            .is_some_and(|last_valid| last_valid.revision >= entry.revision);
        if self.validation == Some(ValidationResult::Valid) || is_superseded {
            return InsertOutcome::Stale;
        }
        self.await_validation(entry);
        InsertOutcome::Fallback
    }

    pub(super) fn record_validation(&mut self, revision: Revision, result: ValidationResult) {
        if revision == self.latest.revision {
            self.validation = Some(result);
        }
        let index = self
            .unvalidated
            .iter()
            .position(|entry| entry.revision == revision);
        let validated = index.map(|index| self.unvalidated.remove(index));
        if result == ValidationResult::Valid && validated.is_some() {
            self.last_valid = validated;
        }
        if self.validation == Some(ValidationResult::Valid) {
            self.last_valid = None;
            self.unvalidated.clear();
        }
    }

    /// The older version that is in force because the newest one is invalid.
    pub(super) fn fallback(&self) -> Option<&Entry> {
        let latest_is_invalid = self.validation == Some(ValidationResult::Invalid);
        self.last_valid.as_ref().filter(|_| latest_is_invalid)
    }

    /// Versions to send to a peer.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.fallback()
            .into_iter()
            .chain(std::iter::once(&self.latest))
    }

    pub(super) fn version(&self) -> KeyVersion {
        KeyVersion {
            key: self.latest.key.clone(),
            revision: self.latest.revision,
            in_force: self.in_force(),
        }
    }

    /// Whether a peer with these versions holds a version that this slot lacks.
    pub(super) fn lacks(&self, theirs: &KeyVersion) -> bool {
        is_ahead(theirs, &self.version())
    }

    /// Whether this slot holds a version that a peer with these versions lacks.
    pub(super) fn is_ahead_of(&self, theirs: &KeyVersion) -> bool {
        is_ahead(&self.version(), theirs)
    }

    pub(super) fn hash(&self) -> u64 {
        let fallback = self
            .fallback()
            .map(|entry| entry.revision)
            .unwrap_or_default();
        weight(&[
            self.latest.key.0.as_bytes(),
            &self.latest.revision.0.to_le_bytes(),
            &fallback.0.to_le_bytes(),
        ])
    }

    fn in_force(&self) -> Option<Revision> {
        if self.validation == Some(ValidationResult::Valid) {
            return Some(self.latest.revision);
        }
        self.fallback().map(|entry| entry.revision)
    }

    fn replace(&mut self, entry: Entry) {
        let previous = std::mem::replace(&mut self.latest, entry);
        match self.validation.take() {
            Some(ValidationResult::Valid) => self.last_valid = Some(previous),
            Some(ValidationResult::Invalid) => {}
            None => self.await_validation(previous),
        }
    }

    fn await_validation(&mut self, entry: Entry) {
        if self.unvalidated.len() == MAX_UNVALIDATED {
            self.unvalidated.remove(0);
        }
        self.unvalidated.push(entry);
    }
}

/// Whether a node with versions `a` holds a version that a node with versions `b` lacks.
fn is_ahead(a: &KeyVersion, b: &KeyVersion) -> bool {
    if a.revision != b.revision {
        return a.revision > b.revision;
    }
    // If the newest versions are equal, only a higher fallback version in force is new to the other node.
    a.in_force > b.in_force && a.in_force < Some(a.revision)
}
