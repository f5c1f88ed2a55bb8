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

/// Versions of one key that wait for their verdict at a time.
const UNJUDGED_KEPT: usize = 4;

/// The newest version of a key, and the highest valid one before it while the newest isn't known to be valid.
///
/// A node that starts while the newest version is invalid would otherwise get that one alone and have nothing in force,
/// seen as a service without a document on new nodes only.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    latest: Entry,
    verdict: Option<Verdict>,
    /// The highest version below `latest` known to be valid.
    good: Option<Entry>,
    /// Versions below `latest` and above `good` without a verdict. They don't take the place of `good` before they are
    /// found valid: an invalid one would leave nothing to pass on.
    unjudged: Vec<Entry>,
}

impl Slot {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            latest: entry,
            verdict: None,
            good: None,
            unjudged: Vec::new(),
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
        let is_below_good = self
            .good
            .as_ref()
            .is_some_and(|good| good.revision >= entry.revision);
        if self.verdict == Some(Verdict::Valid) || is_below_good {
            return Taken::Stale;
        }
        self.await_verdict(entry);
        Taken::Fallback
    }

    pub(super) fn judge(&mut self, revision: Revision, verdict: Verdict) {
        if revision == self.latest.revision {
            self.verdict = Some(verdict);
        }
        let judged = self
            .unjudged
            .iter()
            .position(|entry| entry.revision == revision);
        let judged = judged.map(|index| self.unjudged.remove(index));
        if verdict == Verdict::Valid && judged.is_some() {
            self.good = judged;
        }
        if self.verdict == Some(Verdict::Valid) {
            self.good = None;
            self.unjudged.clear();
        }
    }

    /// The version in force behind an invalid newest one.
    pub(super) fn fallback(&self) -> Option<&Entry> {
        let stands = self.verdict == Some(Verdict::Invalid);
        self.good.as_ref().filter(|_| stands)
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
        match self.verdict.take() {
            Some(Verdict::Valid) => self.good = Some(previous),
            Some(Verdict::Invalid) => {}
            None => self.await_verdict(previous),
        }
    }

    fn await_verdict(&mut self, entry: Entry) {
        if self.unjudged.len() == UNJUDGED_KEPT {
            self.unjudged.remove(0);
        }
        self.unjudged.push(entry);
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
