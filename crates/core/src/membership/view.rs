//! The fleet as one node believes it to be.

mod list;

use std::time::Instant;

use crate::collections::Map;
use crate::dissemination::Revision;
use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::Tick;

use super::listed::Listed;
use super::word::Words;
use super::{InstanceEntry, ListedState, MembershipConfig, NodeState, WordOutcome};

/// Nodes that the list does not show whose words are kept nevertheless.
const UNLISTED_WORDS: usize = 1024;

pub use list::ListOutcome;

/// What this node believes about the fleet: the platform's lagging list, corrected by what nodes say of themselves.
#[derive(Clone, Debug, Default)]
pub struct View {
    cfg: MembershipConfig,
    revision: Revision,
    /// Revision from which on removals are remembered.
    floor: Revision,
    listed: Map<NodeName, Listed>,
    by_service: Map<ServiceName, Vec<NodeName>>,
    removed: Map<NodeName, Revision>,
    words: Map<NodeName, Words>,
    epoch: u64,
}

impl View {
    /// A view that knows nobody.
    pub fn new(cfg: MembershipConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Revision of the newest list applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// A number that changes whenever an answer of this view may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of nodes on the list.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Every node on the list, whatever its state, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }

    /// The list's entry of a node.
    pub fn get(&self, node: &NodeName) -> Option<&InstanceEntry> {
        self.listed.get(node).map(|listed| &listed.entry)
    }

    /// The incarnation of a node that is believed to be the current one.
    pub fn incarnation(&self, node: &NodeName) -> Option<Incarnation> {
        self.words.get(node).map(Words::incarnation)
    }

    /// The last state told by a node's current incarnation.
    pub fn told(&self, node: &NodeName) -> Option<NodeState> {
        self.words.get(node).map(Words::state)
    }

    /// The instances of a service that may receive new work, in order of their nodes' names.
    ///
    /// Nodes that could not be reached are left out, unless that would leave nobody.
    pub fn live(&self, service: &ServiceName) -> Vec<&InstanceEntry> {
        let believed: Vec<&Listed> = self
            .by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|node| self.listed.get(node))
            .filter(|listed| self.takes_work(listed))
            .collect();
        // A cut between this node and the whole service marks all of them; with an empty answer every call would fail
        // for the time of the marks, also after the cut has healed. Trying some of them costs no more than that.
        let any_reachable = believed
            .iter()
            .any(|listed| listed.unreachable_until.is_none());
        believed
            .into_iter()
            .filter(|listed| !any_reachable || listed.unreachable_until.is_none())
            .map(|listed| &listed.entry)
            .collect()
    }

    /// Whether a node may receive new work.
    pub fn is_live(&self, node: &NodeName) -> bool {
        self.listed
            .get(node)
            .is_some_and(|listed| self.takes_work(listed))
    }

    /// Whether a node is on the list, could be reached at the last trial and does not say that it is leaving.
    ///
    /// Starting nodes count: they hold documents and pass them on.
    pub fn is_present(&self, node: &NodeName) -> bool {
        self.listed.get(node).is_some_and(|listed| {
            listed.unreachable_until.is_none()
                && listed.entry.state == ListedState::Live
                && self.told(node) != Some(NodeState::Leaving)
        })
    }

    /// A node said something about itself, on any message of its own.
    pub fn heard(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        state: NodeState,
        tick: Tick,
        now: Instant,
    ) -> WordOutcome {
        let is_full = self.words.len() >= self.listed.len() + UNLISTED_WORDS;
        let outcome = match self.words.get_mut(node) {
            Some(words) => words.hear(incarnation, state, tick, self.cfg.silence, now),
            // Words are passed on, so a peer can invent names. Each would be kept and passed on by every node, seen as
            // memory and traffic that grow all over the fleet.
            None if is_full && !self.listed.contains_key(node) => {
                return WordOutcome::Stale;
            }
            None => {
                self.words
                    .insert(node.clone(), Words::new(incarnation, state, tick, now));
                WordOutcome::Changed
            }
        };
        if outcome == WordOutcome::Stale {
            return outcome;
        }
        let was_unreachable = self
            .listed
            .get_mut(node)
            .and_then(|listed| listed.unreachable_until.take())
            .is_some();
        if was_unreachable || outcome == WordOutcome::Changed {
            self.epoch += 1;
        }
        outcome
    }

    /// A node could not be reached.
    pub fn unreachable(&mut self, node: &NodeName, now: Instant) {
        let Some(listed) = self.listed.get_mut(node) else {
            return;
        };
        if listed
            .unreachable_until
            .replace(now + self.cfg.unreachable_for)
            .is_none()
        {
            self.epoch += 1;
        }
        // Two independent signs, a list without the node and no contact with it, end the doubt about the list.
        if listed.missing_since.is_some() {
            self.unlist(node);
        }
    }

    /// Lets marks and doubts run out; called every second or so. Returns whether anything changed.
    pub fn advance(&mut self, now: Instant) -> bool {
        let before = self.epoch;
        self.expire_marks(now);
        self.resolve_missing(now);
        self.forget_words(now);
        before != self.epoch
    }

    fn takes_work(&self, listed: &Listed) -> bool {
        let words = self.words.get(&listed.entry.node);
        let told = words.map(Words::state);
        if matches!(told, Some(NodeState::Starting | NodeState::Leaving)) {
            return false;
        }
        if listed.entry.state == ListedState::Live {
            return true;
        }
        // The list still calls the earlier incarnation leaving: the new one has spoken for itself.
        match (listed.leaving_incarnation, words) {
            (Some(leaving), Some(words)) => words.incarnation() != leaving,
            _ => false,
        }
    }

    fn expire_marks(&mut self, now: Instant) {
        for listed in self.listed.values_mut() {
            if listed.unreachable_until.is_some_and(|until| until <= now) {
                listed.unreachable_until = None;
                self.epoch += 1;
            }
        }
    }

    fn forget_words(&mut self, now: Instant) {
        let Self {
            cfg, listed, words, ..
        } = self;
        words.retain(|node, words| {
            listed.contains_key(node)
                || now.saturating_duration_since(words.heard_at()) < cfg.forget_after
        });
    }
}
