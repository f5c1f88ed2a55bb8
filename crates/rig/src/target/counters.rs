//! Counting of a target's calls and runs.

use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::target::run::{CallId, RunEnd};
use crate::target::{ClassCounts, KeyRuns, TargetCounts};

/// Keys that are recorded at most.
const KEY_LIMIT: usize = 1_000_000;

/// The counts of a target, without what is in flight at the moment.
#[derive(Debug, Default)]
pub struct Counters {
    counts: TargetCounts,
}

impl Counters {
    /// The counts so far.
    pub fn counts(&self) -> TargetCounts {
        self.counts.clone()
    }

    /// A call reached the target.
    pub fn on_arrived(&mut self, id: &CallId) {
        self.counts.arrived += 1;
        self.class(id).arrived += 1;
    }

    /// A call was refused.
    pub fn on_refused(&mut self) {
        self.counts.refused += 1;
    }

    /// A call got a slot, with which `in_flight` are taken.
    pub fn on_granted(&mut self, in_flight: usize) {
        self.counts.max_in_flight = self.counts.max_in_flight.max(in_flight);
    }

    /// A call began to run.
    pub fn on_began(&mut self, id: &CallId) {
        self.counts.started += 1;
        self.class(id).started += 1;
        match self.key_runs(id) {
            Some(runs) => runs.started += 1,
            None => self.counts.keys_dropped += u64::from(!id.key.is_empty()),
        }
    }

    /// A call gave its slot back after `worked`.
    pub fn on_ended(&mut self, id: &CallId, end: RunEnd, worked: Duration) {
        let work_ms = worked.as_secs_f64() * 1000.0;
        self.counts.work_ms += work_ms;
        if end != RunEnd::Finished {
            self.counts.wasted_ms += work_ms;
        }
        match end {
            RunEnd::NotBegun => return,
            RunEnd::Finished => {
                self.counts.finished += 1;
                self.class(id).finished += 1;
            }
            RunEnd::Failed => self.counts.failed += 1,
            RunEnd::Cancelled => self.counts.cancelled += 1,
        }
        if let Some(runs) = self.key_runs(id) {
            runs.end(end);
        }
    }

    fn class(&mut self, id: &CallId) -> &mut ClassCounts {
        self.counts.classes.entry(id.class.clone()).or_default()
    }

    fn key_runs(&mut self, id: &CallId) -> Option<&mut KeyRuns> {
        if id.key.is_empty() {
            return None;
        }
        let is_full = self.counts.keys.len() >= KEY_LIMIT;
        match self.counts.keys.entry(id.key.clone()) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) if !is_full => Some(entry.insert(KeyRuns::default())),
            Entry::Vacant(_) => None,
        }
    }
}

impl KeyRuns {
    fn end(&mut self, end: RunEnd) {
        match end {
            RunEnd::NotBegun => {}
            RunEnd::Finished => self.finished += 1,
            RunEnd::Failed => self.failed += 1,
            RunEnd::Cancelled => self.cancelled += 1,
        }
    }
}
