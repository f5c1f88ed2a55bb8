//! Membership state of one listed instance.

use std::time::Instant;

use crate::dissemination::Revision;
use crate::id::Incarnation;

use super::{InstanceEntry, ListedState};

/// A list entry with its change history and reachability.
#[derive(Clone, Debug)]
pub(super) struct ListedInstance {
    pub(super) entry: InstanceEntry,
    /// Revision of the list in which this node first saw the current form of the entry.
    pub(super) changed_at: Revision,
    /// Incarnation that was known when the node was first listed as leaving.
    pub(super) leaving_incarnation: Option<Incarnation>,
    /// When the node first went missing from the list, while its removal is held.
    pub(super) missing_since: Option<Instant>,
    /// Time until which the node is excluded because it was unreachable.
    pub(super) unreachable_until: Option<Instant>,
}

impl ListedInstance {
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

    /// Applies a newer form of the entry.
    pub(super) fn update(
        &mut self,
        entry: InstanceEntry,
        at: Revision,
        known: Option<Incarnation>,
    ) {
        let was_missing = self.missing_since.take().is_some();
        if self.entry == entry {
            // Peers that have applied the removal must receive the entry again.
            if was_missing {
                self.changed_at = at;
            }
            return;
        }
        let starts_leaving =
            entry.state == ListedState::Leaving && self.entry.state == ListedState::Live;
        if starts_leaving {
            self.leaving_incarnation = known;
        }
        self.entry = entry;
        self.changed_at = at;
    }
}
