//! Requests that this node sends to peers: pushes, digest exchanges and probes.

use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::{Entry, PushMode};
use coltsfootport_core::id::NodeName;
use coltsfootport_core::membership::ListedState;
use rand::seq::IteratorRandom;

use super::{SpreadMessage, SpreadTask, StateReport};
use crate::wire::{ControlRequest, EntryFrame, NewsFrame, StateReportFrame, VersionFrame};

impl SpreadTask {
    /// Pushes new entries to all push targets: small entries with their value, others as a notice with key and revision.
    pub(super) fn push_entries(&mut self, entries: &[Entry]) {
        let (inlined, notices): (Vec<&Entry>, Vec<&Entry>) = entries
            .iter()
            .partition(|entry| self.gossip.push_mode(entry.value.len()) == PushMode::Full);
        let frame = NewsFrame {
            node: self.setup.node.0.clone(),
            notices: notices.into_iter().map(VersionFrame::from).collect(),
            entries: inlined.into_iter().map(EntryFrame::from).collect(),
        };
        self.broadcast(&ControlRequest::News(frame));
    }

    /// Forwards a node's state report to all push targets.
    pub(super) fn forward_state_report(&mut self, report: &StateReport) {
        self.broadcast(&ControlRequest::StateReports(vec![StateReportFrame::from(
            report,
        )]));
    }

    /// Sends a digest to one peer when the gossip plan has an exchange due.
    pub(super) fn exchange_digests(&mut self, now: Instant) {
        let Some(peer) = self.gossip.digest_peer(now, &mut self.rng).cloned() else {
            return;
        };
        self.send_request(&peer, ControlRequest::Digest(self.digest_frame()));
    }

    /// Probes a node that reported leaving but is still listed as live, in case it has restarted.
    ///
    /// A node that restarts under its old name before the instance list shows its departure stays unused until some node
    /// receives a report of its new incarnation. Without the probe none would, since no calls are routed to it.
    pub(super) fn probe_departed(&mut self, now: Instant) {
        let view = &self.view;
        self.departed
            .retain(|node, _| view.reported_state(node).is_some());
        let overdue = self.departed.iter().filter(|(node, since)| {
            let listed = view
                .get(node)
                .is_some_and(|entry| entry.state == ListedState::Live);
            listed && now.saturating_duration_since(**since) >= PROBE_INTERVAL
        });
        let Some(node) = overdue.map(|(node, _)| node.clone()).choose(&mut self.rng) else {
            return;
        };
        self.departed.insert(node.clone(), now);
        self.send_request(&node, ControlRequest::Digest(self.digest_frame()));
    }

    /// Sends a digest to every push target that has not answered one yet as a serving node, so that a starting node learns the
    /// newest revisions before it serves.
    pub(super) fn request_startup_digests(&mut self) {
        let peers = self.gossip.push_targets().to_vec();
        for peer in peers {
            if !self.startup_responders.contains(&peer) {
                self.send_request(&peer, ControlRequest::Digest(self.digest_frame()));
            }
        }
    }

    fn broadcast(&mut self, request: &ControlRequest) {
        let peers = self.gossip.push_targets().to_vec();
        for peer in peers {
            self.send_request(&peer, request.clone());
        }
    }

    /// Sends a request in a separate task, which delivers the result as a message to this one.
    pub(super) fn send_request(&mut self, node: &NodeName, request: ControlRequest) {
        let Some(entry) = self.view.get(node) else {
            return;
        };
        let (node, address) = (node.clone(), entry.peer);
        self.pending_requests += 1;
        let (hub, tx) = (self.setup.hub.clone(), self.setup.tx.clone());
        tokio::spawn(async move {
            let message = match hub.link(&node, address).await {
                None => SpreadMessage::Unreachable(node),
                Some(link) => match link.control(request, REPLY_TIMEOUT).await {
                    Ok(reply) => SpreadMessage::Reply(node, reply),
                    Err(_) => SpreadMessage::NoReply,
                },
            };
            let _ = tx.send(message);
        });
    }
}

/// Time after which a request to a peer counts as unanswered.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between a node's report of leaving and the first probe, and between probes, while it is listed as live.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl From<&Entry> for VersionFrame {
    fn from(entry: &Entry) -> Self {
        Self {
            key: entry.key.0.clone(),
            revision: entry.revision.0,
            in_force: None,
        }
    }
}
