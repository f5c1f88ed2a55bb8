//! How a view takes in the platform's list, whole or as changes passed on by a peer.

use std::time::Instant;

use crate::collections::{Map, Set};
use crate::dissemination::Revision;
use crate::id::{NodeName, ServiceName};
use crate::membership::listed::Listed;
use crate::membership::word::Words;
use crate::membership::{InstanceEntry, ListDelta, NodeState};

use super::View;

/// Removals remembered for passing on as changes; a peer that is further behind gets the whole list.
const REMOVALS_KEPT: usize = 1024;

/// What became of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListOutcome {
    /// The list is taken.
    Taken,
    /// The list is not newer than what is known and is ignored.
    Stale,
    /// The list takes away too much at once: what it adds is taken, what it lacks is kept for a while.
    Held,
    /// The changes begin after what is known and can't be applied; the whole list is needed.
    Gap,
}

impl View {
    /// Takes a whole list from the platform.
    pub fn apply_list(
        &mut self,
        revision: Revision,
        entries: Vec<InstanceEntry>,
        now: Instant,
    ) -> ListOutcome {
        if revision <= self.revision {
            return ListOutcome::Stale;
        }
        // An empty list can't be true for a node that reads it. Believed, it would leave no target for any call.
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
            self.floor = revision;
        }
        self.apply(revision, entries, &removed, now)
    }

    /// Takes the changes of the list that a peer passes on.
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

    /// The changes of the list after `from`, for a peer whose list is of that revision.
    pub fn delta_since(&self, from: Revision) -> ListDelta {
        let whole = from < self.floor;
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

    /// Ends the doubt about nodes that the list has lacked for long, unless they go on speaking.
    pub(super) fn resolve_missing(&mut self, now: Instant) {
        let gone: Vec<NodeName> = self
            .listed
            .iter()
            .filter(|(node, listed)| self.is_given_up(node, listed, now))
            .map(|(node, _)| node.clone())
            .collect();
        for node in gone {
            self.unlist(&node);
        }
    }

    pub(super) fn unlist(&mut self, node: &NodeName) {
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
        let held = self.takes_too_much(removed);
        for entry in entries {
            self.list(entry, revision);
        }
        for node in removed {
            self.drop_listed(node, revision, held, now);
        }
        self.prune_removed();
        if held {
            ListOutcome::Held
        } else {
            ListOutcome::Taken
        }
    }

    fn list(&mut self, entry: InstanceEntry, revision: Revision) {
        let known = self.words.get(&entry.node).map(Words::incarnation);
        self.removed.remove(&entry.node);
        match self.listed.get_mut(&entry.node) {
            Some(listed) if listed.entry.service == entry.service => {
                listed.update(entry, revision, known);
            }
            _ => {
                self.unlist(&entry.node);
                self.index(&entry);
                self.listed
                    .insert(entry.node.clone(), Listed::new(entry, revision, known));
            }
        }
    }

    fn drop_listed(&mut self, node: &NodeName, revision: Revision, held: bool, now: Instant) {
        let Some(listed) = self.listed.get(node) else {
            return;
        };
        let keep = held && self.is_in_use(listed);
        self.removed.entry(node.clone()).or_insert(revision);
        if !keep {
            self.unlist(node);
            return;
        }
        if let Some(listed) = self.listed.get_mut(node) {
            listed.missing_since.get_or_insert(now);
        }
    }

    /// Whether removals look like a truncated list rather than like instances that went away.
    ///
    /// A truncated answer of the platform would take away instances that are well, seen as a sudden surge on the rest
    /// of the fleet. Instances that really went away are found out by contact, so keeping them costs little.
    fn takes_too_much(&self, removed: &[NodeName]) -> bool {
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

    fn is_in_use(&self, listed: &Listed) -> bool {
        listed.unreachable_until.is_none() && self.takes_work(listed)
    }

    fn is_given_up(&self, node: &NodeName, listed: &Listed, now: Instant) -> bool {
        let Some(since) = listed.missing_since else {
            return false;
        };
        let spoke = self
            .words
            .get(node)
            .filter(|words| words.state() == NodeState::Serving)
            .map_or(since, |words| words.heard_at().max(since));
        now.saturating_duration_since(spoke) >= self.cfg.hold
    }

    fn prune_removed(&mut self) {
        while self.removed.len() > REMOVALS_KEPT {
            let Some((node, at)) = self.removed.iter().min_by_key(|(_, at)| **at) else {
                return;
            };
            let (node, at) = (node.clone(), *at);
            self.floor = self.floor.max(at);
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
