//! Updates of the view from the platform's list, complete or as a delta forwarded by a peer.

use std::time::Instant;

use crate::collections::{Map, Set};
use crate::dissemination::Revision;
use crate::id::{NodeName, ServiceName};
use crate::membership::listed_instance::ListedInstance;
use crate::membership::state_report::NodeReports;
use crate::membership::{InstanceEntry, ListDelta, NodeState};

use super::View;

/// Maximum number of removals recorded for deltas. Peers that are further behind get the complete list.
const MAX_REMOVALS: usize = 1024;

/// Result of applying a list or delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListOutcome {
    /// The list was applied.
    Taken,
    /// The list is not newer than the known one and was ignored.
    Stale,
    /// The list removes too many instances at once: additions were applied, removals are held for a while.
    Held,
    /// The delta is based on a later revision than the known one; the complete list is needed.
    Gap,
}

impl View {
    /// Applies a complete list.
    pub fn apply_list(
        &mut self,
        revision: Revision,
        entries: Vec<InstanceEntry>,
        now: Instant,
    ) -> ListOutcome {
        if revision <= self.revision {
            return ListOutcome::Stale;
        }
        // The list must contain at least the node that reads it. An empty one would leave every call without a target.
        if entries.is_empty() && !self.listed.is_empty() {
            self.revision = revision;
            return ListOutcome::Held;
        }
        let names: Set<&NodeName> = entries.iter().map(|entry| &entry.node).collect();
        let removed: Vec<NodeName> = self
            .listed
            .keys()
            .filter(|node| !names.contains(node))
            .cloned()
            .collect();
        if self.listed.is_empty() {
            self.removals_since = revision;
        }
        self.apply(revision, entries, &removed, now)
    }

    /// Applies a delta forwarded by a peer.
    pub fn apply_delta(&mut self, delta: ListDelta, now: Instant) -> ListOutcome {
        if delta.from == Revision(0) {
            return self.apply_list(delta.to, delta.changed, now);
        }
        if delta.to <= self.revision {
            return ListOutcome::Stale;
        }
        if delta.from > self.revision {
            return ListOutcome::Gap;
        }
        self.apply(delta.to, delta.changed, &delta.removed, now)
    }

    /// Returns the changes since revision `from`, for a peer whose list has that revision.
    pub fn delta_since(&self, from: Revision) -> ListDelta {
        let whole = from < self.removals_since;
        let from = if whole { Revision(0) } else { from };
        let changed = self
            .listed
            .values()
            .filter(|listed| listed.missing_since.is_none() && listed.changed_at > from)
            .map(|listed| listed.entry.clone())
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(_, at)| !whole && **at > from)
            .map(|(node, _)| node.clone())
            .collect();
        ListDelta {
            from,
            to: self.revision,
            changed,
            removed,
        }
    }

    /// Removes nodes whose held removal has expired. State reports of serving nodes extend the hold.
    pub(super) fn remove_missing(&mut self, now: Instant) {
        let gone: Vec<NodeName> = self
            .listed
            .iter()
            .filter(|(node, listed)| self.is_hold_expired(node, listed, now))
            .map(|(node, _)| node.clone())
            .collect();
        for node in gone {
            self.remove_listed(&node);
        }
    }

    pub(super) fn remove_listed(&mut self, node: &NodeName) {
        let Some(listed) = self.listed.remove(node) else {
            return;
        };
        self.unindex(&listed.entry.service, node);
        self.epoch += 1;
    }

    fn apply(
        &mut self,
        revision: Revision,
        entries: Vec<InstanceEntry>,
        removed: &[NodeName],
        now: Instant,
    ) -> ListOutcome {
        self.revision = revision;
        self.epoch += 1;
        let held = self.exceeds_loss_limit(removed);
        for entry in entries {
            self.upsert(entry, revision);
        }
        for node in removed {
            self.remove_or_hold(node, revision, held, now);
        }
        self.prune_removed();
        if held {
            ListOutcome::Held
        } else {
            ListOutcome::Taken
        }
    }

    fn upsert(&mut self, entry: InstanceEntry, revision: Revision) {
        let known = self.reports.get(&entry.node).map(NodeReports::incarnation);
        self.removed.remove(&entry.node);
        match self.listed.get_mut(&entry.node) {
            Some(listed) if listed.entry.service == entry.service => {
                listed.update(entry, revision, known);
            }
            _ => {
                self.remove_listed(&entry.node);
                self.index(&entry);
                self.listed.insert(
                    entry.node.clone(),
                    ListedInstance::new(entry, revision, known),
                );
            }
        }
    }

    fn remove_or_hold(&mut self, node: &NodeName, revision: Revision, held: bool, now: Instant) {
        let Some(listed) = self.listed.get(node) else {
            return;
        };
        let keep = held && self.is_in_use(listed);
        self.removed.entry(node.clone()).or_insert(revision);
        if !keep {
            self.remove_listed(node);
            return;
        }
        if let Some(listed) = self.listed.get_mut(node) {
            listed.missing_since.get_or_insert(now);
        }
    }

    /// Whether removals look like a truncated list rather than actual departures.
    ///
    /// A truncated answer of the platform would remove healthy instances and shift their load to the rest of the fleet.
    /// Keeping instances that did leave costs little, because failed contact reveals them.
    fn exceeds_loss_limit(&self, removed: &[NodeName]) -> bool {
        let mut lost: Map<&ServiceName, usize> = Map::default();
        for listed in removed.iter().filter_map(|node| self.listed.get(node)) {
            if self.is_in_use(listed) {
                *lost.entry(&listed.entry.service).or_default() += 1;
            }
        }
        let total: usize = lost.values().sum();
        let in_use = self
            .listed
            .values()
            .filter(|listed| self.is_in_use(listed))
            .count();
        let allowed = (in_use as f64 * self.cfg.loss_share).max(1.0);
        if total as f64 > allowed {
            return true;
        }
        lost.iter()
            .any(|(service, count)| *count == self.in_use_of(service))
    }

    fn in_use_of(&self, service: &ServiceName) -> usize {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|node| self.listed.get(node))
            .filter(|listed| self.is_in_use(listed))
            .count()
    }

    fn is_in_use(&self, listed: &ListedInstance) -> bool {
        listed.unreachable_until.is_none() && self.accepts_work(listed)
    }

    fn is_hold_expired(&self, node: &NodeName, listed: &ListedInstance, now: Instant) -> bool {
        let Some(since) = listed.missing_since else {
            return false;
        };
        let last_seen = self
            .reports
            .get(node)
            .filter(|reports| reports.state() == NodeState::Serving)
            .map_or(since, |reports| reports.last_report_at().max(since));
        now.saturating_duration_since(last_seen) >= self.cfg.hold
    }

    fn prune_removed(&mut self) {
        while self.removed.len() > MAX_REMOVALS {
            let Some((node, at)) = self.removed.iter().min_by_key(|(_, at)| **at) else {
                return;
            };
            let (node, at) = (node.clone(), *at);
            self.removals_since = self.removals_since.max(at);
            self.removed.remove(&node);
        }
    }

    fn index(&mut self, entry: &InstanceEntry) {
        let nodes = self.by_service.entry(entry.service.clone()).or_default();
        if let Err(at) = nodes.binary_search(&entry.node) {
            nodes.insert(at, entry.node.clone());
        }
    }

    fn unindex(&mut self, service: &ServiceName, node: &NodeName) {
        let Some(nodes) = self.by_service.get_mut(service) else {
            return;
        };
        nodes.retain(|other| other != node);
        if nodes.is_empty() {
            self.by_service.remove(service);
        }
    }
}
