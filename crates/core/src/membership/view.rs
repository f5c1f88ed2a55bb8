//! View of the fleet that one node maintains.

mod list;

use std::time::Instant;

use crate::collections::Map;
use crate::dissemination::Revision;
use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::Tick;

use super::listed_instance::ListedInstance;
use super::state_report::NodeReports;
use super::{InstanceEntry, ListedState, MembershipConfig, NodeState, StateReportOutcome};

/// Maximum number of unlisted nodes whose state reports are kept.
const MAX_UNLISTED_NODES: usize = 1024;

pub use list::ListOutcome;

/// The fleet as seen by this node: the platform's lagging list, corrected by the nodes' own state reports.
#[derive(Clone, Debug, Default)]
pub struct View {
    cfg: MembershipConfig,
    revision: Revision,
    /// Revision from which on removals are recorded.
    removals_since: Revision,
    listed: Map<NodeName, ListedInstance>,
    by_service: Map<ServiceName, Vec<NodeName>>,
    removed: Map<NodeName, Revision>,
    reports: Map<NodeName, NodeReports>,
    epoch: u64,
}

impl View {
    /// Creates an empty view.
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

    /// Counter that changes whenever the result of a query may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of listed nodes.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no node is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// All listed nodes in any state, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }

    /// The list's entry of a node.
    pub fn get(&self, node: &NodeName) -> Option<&InstanceEntry> {
        self.listed.get(node).map(|listed| &listed.entry)
    }

    /// The current incarnation of a node, if known.
    pub fn incarnation(&self, node: &NodeName) -> Option<Incarnation> {
        self.reports.get(node).map(NodeReports::incarnation)
    }

    /// The last state reported by a node's current incarnation.
    pub fn reported_state(&self, node: &NodeName) -> Option<NodeState> {
        self.reports.get(node).map(NodeReports::state)
    }

    /// The instances of a service that may receive new work, ordered by node name.
    ///
    /// Unreachable nodes are excluded, unless all of them are unreachable.
    pub fn live(&self, service: &ServiceName) -> Vec<&InstanceEntry> {
        let accepting: Vec<&ListedInstance> = self
            .by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|node| self.listed.get(node))
            .filter(|listed| self.accepts_work(listed))
            .collect();
        // A network partition between this node and a service marks all of its instances as unreachable. Returning none
        // would fail every call until the marks expire, even after the partition has healed. Trying them costs no more.
        let any_reachable = accepting
            .iter()
            .any(|listed| listed.unreachable_until.is_none());
        accepting
            .into_iter()
            .filter(|listed| !any_reachable || listed.unreachable_until.is_none())
            .map(|listed| &listed.entry)
            .collect()
    }

    /// Whether a node may receive new work.
    pub fn is_live(&self, node: &NodeName) -> bool {
        self.listed
            .get(node)
            .is_some_and(|listed| self.accepts_work(listed))
    }

    /// Whether a node is listed as live, not marked as unreachable and has not reported that it is leaving.
    ///
    /// Includes starting nodes, since they store and forward documents.
    pub fn is_present(&self, node: &NodeName) -> bool {
        self.listed.get(node).is_some_and(|listed| {
            listed.unreachable_until.is_none()
                && listed.entry.state == ListedState::Live
                && self.reported_state(node) != Some(NodeState::Leaving)
        })
    }

    /// Records a state report of a node, which any of its messages may carry.
    pub fn record_report(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        state: NodeState,
        tick: Tick,
        now: Instant,
    ) -> StateReportOutcome {
        let is_full = self.reports.len() >= self.listed.len() + MAX_UNLISTED_NODES;
        let outcome = match self.reports.get_mut(node) {
            Some(reports) => reports.record(incarnation, state, tick, self.cfg.silence, now),
            // Reports are forwarded, so a peer could forge node names. Without a limit, every node would store and
            // forward them, and memory and traffic would grow throughout the fleet.
            None if is_full && !self.listed.contains_key(node) => {
                return StateReportOutcome::Stale;
            }
            None => {
                self.reports.insert(
                    node.clone(),
                    NodeReports::new(incarnation, state, tick, now),
                );
                StateReportOutcome::Changed
            }
        };
        if outcome == StateReportOutcome::Stale {
            return outcome;
        }
        let was_unreachable = self
            .listed
            .get_mut(node)
            .and_then(|listed| listed.unreachable_until.take())
            .is_some();
        if was_unreachable || outcome == StateReportOutcome::Changed {
            self.epoch += 1;
        }
        outcome
    }

    /// Marks a node as unreachable.
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
        // The node is both missing from the list and unreachable, so its removal is no longer held.
        if listed.missing_since.is_some() {
            self.remove_listed(node);
        }
    }

    /// Expires unreachable marks, held removals and old reports. To be called about once per second. Returns whether
    /// anything changed.
    pub fn advance(&mut self, now: Instant) -> bool {
        let before = self.epoch;
        self.expire_unreachable(now);
        self.remove_missing(now);
        self.forget_reports(now);
        before != self.epoch
    }

    fn accepts_work(&self, listed: &ListedInstance) -> bool {
        let reports = self.reports.get(&listed.entry.node);
        let reported_state = reports.map(NodeReports::state);
        if matches!(
            reported_state,
            Some(NodeState::Starting | NodeState::Leaving)
        ) {
            return false;
        }
        if listed.entry.state == ListedState::Live {
            return true;
        }
        // The list still shows the earlier incarnation as leaving, but a new one has sent its own report.
        match (listed.leaving_incarnation, reports) {
            (Some(leaving), Some(reports)) => reports.incarnation() != leaving,
            _ => false,
        }
    }

    fn expire_unreachable(&mut self, now: Instant) {
        for listed in self.listed.values_mut() {
            if listed.unreachable_until.is_some_and(|until| until <= now) {
                listed.unreachable_until = None;
                self.epoch += 1;
            }
        }
    }

    fn forget_reports(&mut self, now: Instant) {
        let Self {
            cfg,
            listed,
            reports,
            ..
        } = self;
        reports.retain(|node, reports| {
            listed.contains_key(node)
                || now.saturating_duration_since(reports.last_report_at()) < cfg.forget_after
        });
    }
}
