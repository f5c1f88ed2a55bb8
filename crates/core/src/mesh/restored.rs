//! Detects outdated entries in the list of a publisher that was restored from an older copy.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::collections::{Map, Set};
use crate::mesh::Instance;

/// How long the end of an instance is remembered; must exceed the age of a copy.
const RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of remembered ends; bounds memory when a whole fleet is replaced.
const MAX_ENDED: usize = 2048;

/// Ended instances, and entries of a copy that are not accepted yet.
#[derive(Clone, Debug, Default)]
pub(super) struct RestoredEntries {
    ended: Map<SmolStr, Instant>,
    /// Entries that contradict the known state, with the time from which they are accepted nevertheless.
    outdated: Map<SmolStr, (Instance, Instant)>,
}

impl RestoredEntries {
    /// Records that an instance has ended.
    pub(super) fn instance_ended(&mut self, id: SmolStr, now: Instant) {
        if self.ended.len() >= MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.ended.remove(&id));
        }
        self.ended.insert(id, now);
    }

    /// Whether an instance has ended recently.
    pub(super) fn has_ended(&self, id: &str, now: Instant) -> bool {
        let ended = self.ended.get(id);
        ended.is_some_and(|at| now.saturating_duration_since(*at) < RETENTION)
    }

    /// Ignores an entry of a copy until it is written again, removed, or `until` has passed.
    pub(super) fn ignore_until(&mut self, instance: Instance, until: Instant) {
        self.outdated.insert(instance.id.clone(), (instance, until));
    }

    /// Whether exactly this entry of a copy is still ignored.
    pub(super) fn is_ignored(&self, instance: &Instance) -> bool {
        let outdated = self.outdated.get(&instance.id);
        outdated.is_some_and(|(known, _)| known == instance)
    }

    /// Drops outdated entries that are no longer listed.
    pub(super) fn retain_listed(&mut self, listed: &Set<SmolStr>) {
        self.outdated.retain(|id, _| listed.contains(id));
    }

    /// Handles the removal of an entry: the outdated one no longer applies.
    pub(super) fn entry_removed(&mut self, id: &str) {
        self.outdated.remove(id);
    }

    /// Handles the writing of an entry: neither the recorded end nor an outdated entry written before applies any longer.
    pub(super) fn entry_written(&mut self, written: &Instance) {
        let id = &written.id;
        let outdated = self.outdated.get(id);
        if outdated.is_some_and(|(outdated, _)| outdated.written <= written.written) {
            self.outdated.remove(id);
        }
        self.ended.remove(id);
    }

    /// Advances the timers; returns the entries that are to be accepted now.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Instance> {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.ended.retain(|_, at| is_fresh(*at));
        let expired = self.outdated.extract_if(|_, (_, until)| *until <= now);
        expired.map(|(_, (instance, _))| instance).collect()
    }
}
