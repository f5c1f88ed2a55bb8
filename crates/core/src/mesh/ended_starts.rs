//! Starts of targets that have ended.

use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::mesh::Instance;

/// Number of starts remembered; bounds memory when whole fleets restart.
const MAX_STARTS: usize = 4096;

/// Remembers which starts have been followed by another one or have left, by id and start time.
///
/// A process that has ended may still have a write on its way to the publisher. It arrives after those of its successor,
/// and neither its revision nor, after the clock was set back, its start time tells that it is older.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedStarts {
    /// Id and start time of each, the latest last.
    starts: VecDeque<(SmolStr, u64)>,
}

impl EndedStarts {
    /// Records that the start of this instance has ended.
    pub(super) fn add(&mut self, instance: &Instance) {
        let Some(started_at_ms) = instance.started_at_ms else {
            return;
        };
        if self.starts.len() >= MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((instance.id.clone(), started_at_ms));
    }

    /// Whether the start of this instance has ended.
    pub(super) fn contains(&self, instance: &Instance) -> bool {
        self.starts.iter().any(|start| is_start_of(start, instance))
    }

    /// Forgets that the start of this instance has ended.
    pub(super) fn remove(&mut self, instance: &Instance) {
        self.starts.retain(|start| !is_start_of(start, instance));
    }

    /// Forgets an id whose entry was removed.
    pub(super) fn forget(&mut self, id: &str) {
        self.starts.retain(|(known, _)| known != id);
    }
}

fn is_start_of((id, started_at_ms): &(SmolStr, u64), instance: &Instance) -> bool {
    instance.started_at_ms == Some(*started_at_ms) && instance.id == *id
}
