//! What this node sends to its peers about what is published.

use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::{Entry, PushMode};
use coltsfootport_core::id::NodeName;
use coltsfootport_core::membership::ListedState;
use rand::seq::IteratorRandom;

use super::{Spread, SpreadMessage, Word};
use crate::wire::{ControlRequest, EntryFrame, NewsFrame, VersionFrame, WordFrame};

impl Spread {
    /// Tells all peers of new entries, small ones whole.
    pub(super) fn tell_news(&mut self, news: &[Entry]) {
        let (whole, notices): (Vec<&Entry>, Vec<&Entry>) = news
            .iter()
            .partition(|entry| self.gossip.push_mode(entry.value.len()) == PushMode::Full);
        let frame = NewsFrame {
            node: self.setup.node.0.clone(),
            notices: notices.into_iter().map(VersionFrame::from).collect(),
            entries: whole.into_iter().map(EntryFrame::from).collect(),
        };
        self.tell_peers(&ControlRequest::News(frame));
    }

    /// Passes on what a node told about itself.
    pub(super) fn pass_on(&mut self, word: &Word) {
        self.tell_peers(&ControlRequest::Words(vec![WordFrame::from(word)]));
    }

    /// Compares copies with one peer where it is time.
    pub(super) fn exchange_digests(&mut self, now: Instant) {
        let Some(peer) = self.gossip.digest_peer(now, &mut self.rng).cloned() else {
            return;
        };
        self.ask(&peer, ControlRequest::Digest(self.digest_frame()));
    }

    /// Looks whether a node that left has come back.
    ///
    /// A node that is restarted under its name before the list has shown its leaving stays out of use until somebody hears its
    /// new incarnation; nobody would, since nobody sends it work.
    pub(super) fn probe_left(&mut self, now: Instant) {
        let view = &self.view;
        self.left
            .retain(|node, _| view.reported_state(node).is_some());
        let overdue = self.left.iter().filter(|(node, since)| {
            let listed = view
                .get(node)
                .is_some_and(|entry| entry.state == ListedState::Live);
            listed && now.saturating_duration_since(**since) >= PROBE_AFTER
        });
        let Some(node) = overdue.map(|(node, _)| node.clone()).choose(&mut self.rng) else {
            return;
        };
        self.left.insert(node.clone(), now);
        self.ask(&node, ControlRequest::Digest(self.digest_frame()));
    }

    /// Compares copies with every peer that was not heard yet, so that a starting node knows of the newest before it serves.
    pub(super) fn ask_at_start(&mut self) {
        let peers = self.gossip.push_targets().to_vec();
        for peer in peers {
            if !self.start_peers.contains(&peer) {
                self.ask(&peer, ControlRequest::Digest(self.digest_frame()));
            }
        }
    }

    fn tell_peers(&mut self, request: &ControlRequest) {
        let peers = self.gossip.push_targets().to_vec();
        for peer in peers {
            self.ask(&peer, request.clone());
        }
    }

    /// Sends a request; the reply comes back as a message to this task.
    pub(super) fn ask(&mut self, node: &NodeName, request: ControlRequest) {
        let Some(entry) = self.view.get(node) else {
            return;
        };
        let (node, address) = (node.clone(), entry.peer);
        self.unanswered += 1;
        let (hub, tx) = (self.setup.hub.clone(), self.setup.tx.clone());
        tokio::spawn(async move {
            let message = match hub.link(&node, address).await {
                None => SpreadMessage::Unreachable(node),
                Some(link) => match link.control(request, PATIENCE).await {
                    Ok(reply) => SpreadMessage::Replied(node, reply),
                    Err(_) => SpreadMessage::NoReply,
                },
            };
            let _ = tx.send(message);
        });
    }
}

/// How long a peer's reply is waited for.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time after which a node that left, but is still listed as live, is looked for.
const PROBE_AFTER: Duration = Duration::from_secs(1);

impl From<&Entry> for VersionFrame {
    fn from(entry: &Entry) -> Self {
        Self {
            key: entry.key.0.clone(),
            revision: entry.revision.0,
            in_force: None,
        }
    }
}
