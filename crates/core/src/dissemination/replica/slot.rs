//! The versions of one key that a replica holds.

use crate::dissemination::rendezvous::weight;
use crate::dissemination::{Entry, KeyVersion, Revision};

/// Whether a version could be put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The version is in force.
    Valid,
    /// The version has faults and was rejected.
    Invalid,
}

/// What became of a version offered to a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Taken {
    Newest,
    Fallback,
    Stale,
    Conflict,
}

/// The newest version of a key, and the one before it while the newest isn't known to be valid.
///
/// A node that starts while the newest version is invalid would otherwise get that one alone and have nothing in force,
/// seen as a service without a document on new nodes only.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    latest: Entry,
    verdict: Option<Verdict>,
    fallback: Option<Entry>,
    fallback_verdict: Option<Verdict>,
}

impl Slot {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            latest: entry,
            verdict: None,
            fallback: None,
            fallback_verdict: None,
        }
    }

    pub(super) fn latest(&self) -> &Entry {
        &self.latest
    }

    pub(super) fn take(&mut self, entry: Entry) -> Taken {
        if entry.revision > self.latest.revision {
            self.replace(entry);
            return Taken::Newest;
        }
        if entry.revision == self.latest.revision {
            return if entry == self.latest {
                Taken::Stale
            } else {
                Taken::Conflict
            };
        }
        let has_better = self
            .fallback
            .as_ref()
            .is_some_and(|held| held.revision >= entry.revision);
        if self.verdict == Some(Verdict::Valid) || has_better {
            return Taken::Stale;
        }
        self.fallback = Some(entry);
        self.fallback_verdict = None;
        Taken::Fallback
    }

    pub(super) fn judge(&mut self, revision: Revision, verdict: Verdict) {
        if revision == self.latest.revision {
            self.verdict = Some(verdict);
        }
        if self
            .fallback
            .as_ref()
            .is_some_and(|held| held.revision == revision)
        {
            self.fallback_verdict = Some(verdict);
        }
        let superseded = self.verdict == Some(Verdict::Valid);
        if superseded || self.fallback_verdict == Some(Verdict::Invalid) {
            self.fallback = None;
            self.fallback_verdict = None;
        }
    }

    /// The version in force behind an invalid newest one.
    pub(super) fn fallback(&self) -> Option<&Entry> {
        let stands =
            self.verdict == Some(Verdict::Invalid) && self.fallback_verdict == Some(Verdict::Valid);
        self.fallback.as_ref().filter(|_| stands)
    }

    /// What a peer is given.
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

    /// Whether a peer with these versions holds something that this slot lacks.
    pub(super) fn lacks(&self, theirs: &KeyVersion) -> bool {
        is_ahead(theirs, &self.version())
    }

    /// Whether this slot holds something that a peer with these versions lacks.
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
        if self.verdict == Some(Verdict::Valid) {
            return Some(self.latest.revision);
        }
        self.fallback().map(|entry| entry.revision)
    }

    fn replace(&mut self, entry: Entry) {
        let previous = std::mem::replace(&mut self.latest, entry);
        let previous_verdict = self.verdict.take();
        if previous_verdict != Some(Verdict::Invalid) {
            self.fallback = Some(previous);
            self.fallback_verdict = previous_verdict;
        }
    }
}

/// Whether whoever holds `a` could give something to whoever holds `b`.
fn is_ahead(a: &KeyVersion, b: &KeyVersion) -> bool {
    if a.revision != b.revision {
        return a.revision > b.revision;
    }
    // With the same newest version, only one that is in force behind it is news.
    a.in_force > b.in_force && a.in_force < Some(a.revision)
}
