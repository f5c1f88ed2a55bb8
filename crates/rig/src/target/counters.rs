//! Counters of a target's calls and runs.

use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::target::run::{CallId, RunEnd};
use crate::target::{ClassCounts, KeyRuns, TargetCounts};

/// Maximum number of recorded keys.
const MAX_KEYS: usize = 1_000_000;

/// Cumulative counters of a target, without the numbers of current runs and queued calls.
#[derive(Debug, Default)]
pub struct Counters {
    counts: TargetCounts,
}

impl Counters {
    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> TargetCounts {
        self.counts.clone()
    }

    /// Counts a call that reached the target.
    pub fn on_arrived(&mut self, id: &CallId) {
        self.counts.arrived += 1;
        self.class(id).arrived += 1;
    }

    /// Counts a refused call.
    pub fn on_refused(&mut self) {
        self.counts.refused += 1;
    }

    /// Records that a call got a slot and that `in_flight` slots are now in use.
    pub fn on_slot_granted(&mut self, in_flight: usize) {
        self.counts.max_in_flight = self.counts.max_in_flight.max(in_flight);
    }

    /// Counts a call that started to run.
    pub fn on_started(&mut self, id: &CallId) {
        self.counts.started += 1;
        self.class(id).started += 1;
        match self.key_runs(id) {
            Some(runs) => runs.started += 1,
            None => self.counts.keys_dropped += u64::from(!id.key.is_empty()),
        }
    }

    /// Counts a call that released its slot after `work_time`.
    pub fn on_ended(&mut self, id: &CallId, end: RunEnd, work_time: Duration) {
        let work_ms = work_time.as_secs_f64() * 1000.0;
        self.counts.work_ms += work_ms;
        if end != RunEnd::Finished {
            self.counts.wasted_ms += work_ms;
        }
        match end {
            RunEnd::NotStarted => return,
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
        let is_full = self.counts.keys.len() >= MAX_KEYS;
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
            RunEnd::NotStarted => {}
            RunEnd::Finished => self.finished += 1,
            RunEnd::Failed => self.failed += 1,
            RunEnd::Cancelled => self.cancelled += 1,
        }
    }
}
