//! What an older copy of the publisher's list says against what is known.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::collections::{Map, Set};
use crate::mesh::Instance;

/// How long the end of an instance is remembered; longer than a copy is old.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Ends remembered at most; bounds memory where a fleet is replaced as a whole.
const MOST_ENDS: usize = 2048;

/// Ends of instances, and entries of a copy that are not believed yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Restored {
    ended: Map<SmolStr, Instant>,
    doubted: Map<SmolStr, (Instance, Instant)>,
}

impl Restored {
    /// An instance has ended.
    pub(super) fn ended(&mut self, id: SmolStr, now: Instant) {
        if self.ended.len() >= MOST_ENDS {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.ended.remove(&id));
        }
        self.ended.insert(id, now);
    }

    /// Whether an instance has ended of late.
    pub(super) fn has_ended(&self, id: &str, now: Instant) -> bool {
        let ended = self.ended.get(id);
        ended.is_some_and(|at| now.saturating_duration_since(*at) < REMEMBERED)
    }

    /// Keeps an entry of a copy until it is written again, removed, or has stood long enough to be believed.
    pub(super) fn doubt(&mut self, instance: Instance, until: Instant) {
        self.doubted.insert(instance.id.clone(), (instance, until));
    }

    /// Whether this very entry of a copy is not believed yet.
    pub(super) fn is_doubted(&self, instance: &Instance) -> bool {
        let doubted = self.doubted.get(&instance.id);
        doubted.is_some_and(|(known, _)| known == instance)
    }

    /// Forgets entries of a copy that are not listed any more.
    pub(super) fn keep_doubts_of(&mut self, listed: &Set<SmolStr>) {
        self.doubted.retain(|id, _| listed.contains(id));
    }

    /// An entry was removed: what a copy said of it does not count any more.
    pub(super) fn removed(&mut self, id: &str) {
        self.doubted.remove(id);
    }

    /// An entry was written: neither its end nor what a copy said of it counts any more.
    pub(super) fn written(&mut self, id: &str) {
        self.doubted.remove(id);
        self.ended.remove(id);
    }

    /// Lets time pass; returns entries that are to be believed now.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Instance> {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REMEMBERED;
        self.ended.retain(|_, at| is_fresh(*at));
        let over = self.doubted.extract_if(|_, (_, until)| *until <= now);
        over.map(|(_, (instance, _))| instance).collect()
    }
}
