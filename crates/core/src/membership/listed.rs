//! One entry of the list as a node keeps it.

use std::time::Instant;

use crate::dissemination::Revision;
use crate::id::Incarnation;

use super::{InstanceEntry, ListedState};

/// An entry with what the view needs to know of its history.
#[derive(Clone, Debug)]
pub(super) struct Listed {
    pub(super) entry: InstanceEntry,
    /// Revision of the list in which this node first saw the entry as it is.
    pub(super) changed_at: Revision,
    /// Incarnation that was known when the list began to call the node leaving.
    pub(super) leaving_incarnation: Option<Incarnation>,
    /// Since when the list lacks the node, while that is not believed yet.
    pub(super) missing_since: Option<Instant>,
    /// Until when the node is left out because it could not be reached.
    pub(super) unreachable_until: Option<Instant>,
}

impl Listed {
    pub(super) fn new(entry: InstanceEntry, at: Revision, known: Option<Incarnation>) -> Self {
        let leaving = entry.state == ListedState::Leaving;
        Self {
            entry,
            changed_at: at,
            leaving_incarnation: known.filter(|_| leaving),
            missing_since: None,
            unreachable_until: None,
        }
    }

    /// Takes a newer form of the entry.
    pub(super) fn update(
        &mut self,
        entry: InstanceEntry,
        at: Revision,
        known: Option<Incarnation>,
    ) {
        let was_missing = self.missing_since.take().is_some();
        if self.entry == entry {
            // A peer that has taken the removal must be told that the node is back.
            if was_missing {
                self.changed_at = at;
            }
            return;
        }
        let turns_leaving =
            entry.state == ListedState::Leaving && self.entry.state == ListedState::Live;
        if turns_leaving {
            self.leaving_incarnation = known;
        }
        self.entry = entry;
        self.changed_at = at;
    }
}
