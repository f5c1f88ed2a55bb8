//! Starts of targets that were followed by another start under the same id.

use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::collections::Map;
use crate::mesh::Instance;

/// Number of replaced starts remembered for each id.
const MAX_PER_ID: usize = 4;

/// Number of ids remembered; bounds memory when a whole fleet restarts.
const MAX_IDS: usize = 2048;

/// Remembers which starts have been replaced, by id and start time.
///
/// A process that has ended may still have a write on its way to the publisher. It arrives after those of its successor,
/// and neither its revision nor, after the clock was set back, its start time tells that it is older.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplacedStarts {
    by_id: Map<SmolStr, VecDeque<u64>>,
}

impl ReplacedStarts {
    /// Records that the start of this instance was followed by another one.
    pub(super) fn add(&mut self, instance: &Instance) {
        let Some(started_at_ms) = instance.started_at_ms else {
            return;
        };
        if self.by_id.len() >= MAX_IDS && !self.by_id.contains_key(&instance.id) {
            self.by_id.clear();
        }
        let starts = self.by_id.entry(instance.id.clone()).or_default();
        if starts.len() >= MAX_PER_ID {
            starts.pop_front();
        }
        starts.push_back(started_at_ms);
    }

    /// Whether the start of this instance has been replaced.
    pub(super) fn contains(&self, instance: &Instance) -> bool {
        let starts = self.by_id.get(&instance.id);
        let start = instance.started_at_ms;
        starts.is_some_and(|starts| starts.iter().any(|replaced| Some(*replaced) == start))
    }

    /// Forgets that the start of this instance has been replaced.
    pub(super) fn remove(&mut self, instance: &Instance) {
        if let Some(starts) = self.by_id.get_mut(&instance.id) {
            starts.retain(|replaced| Some(*replaced) != instance.started_at_ms);
        }
    }

    /// Forgets an id whose entry was removed.
    pub(super) fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }
}
