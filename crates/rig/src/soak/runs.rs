//! Index of the requests that arrived at targets, by their ids.

use std::collections::HashMap;

use coltsfootport_stand_ins::Arrival;

use super::Evidence;

/// An arrival and the index of the target's machine.
pub(super) type Run<'e> = (usize, &'e Arrival);

/// Arrivals of each request that a target ran.
pub(super) struct Runs<'e> {
    by_id: HashMap<&'e str, Vec<Run<'e>>>,
}

impl<'e> Runs<'e> {
    pub(super) fn of(evidence: &'e Evidence) -> Self {
        let mut by_id: HashMap<&str, Vec<Run<'e>>> = HashMap::new();
        for (machine, arrivals) in evidence.arrivals.iter().enumerate() {
            for run in arrivals.iter().filter(|run| run.ran) {
                if let Some(id) = run.id() {
                    by_id.entry(id).or_default().push((machine, run));
                }
            }
        }
        Self { by_id }
    }

    pub(super) fn of_request(&self, id: &str) -> &[Run<'e>] {
        self.by_id.get(id).map_or(&[], Vec::as_slice)
    }
}
