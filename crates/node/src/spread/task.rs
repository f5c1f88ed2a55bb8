//! The task that owns the node's copy of what is published.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::{Map, Set};
use coltsfootport_core::dissemination::{
    Digest, Entry, GossipPlan, Key, OfferOutcome, PullConfig, Pulls, ReaderPolicy, Replica,
    Revision, StartUp, ValidationResult, VersionsInForce,
};
use coltsfootport_core::document::Document;
use coltsfootport_core::id::{NodeName, ServiceName};
use coltsfootport_core::jsonc::Fault;
use coltsfootport_core::membership::{
    InstanceEntry, MembershipConfig, NodeState, StateReportOutcome, View,
};
use coltsfootport_core::once::Tick;
use coltsfootport_core::routing::PeerView;
use coltsfootport_core::timeline::Event;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{info, warn};
use smol_str::SmolStr;

use crate::wire::ControlRequest;

use super::{DocumentInForce, NodeEntry, Published, SpreadMessage, SpreadSetup, Word};

/// The task that owns the replica of published entries and the view of the fleet.
pub struct Spread {
    pub(super) setup: SpreadSetup,
    pub(super) replica: Replica,
    pub(super) documents: VersionsInForce<Arc<Document>, Vec<Fault>>,
    pub(super) view: View,
    pub(super) config_reads: ReaderPolicy,
    pub(super) list_reads: ReaderPolicy,
    pub(super) gossip: GossipPlan,
    pub(super) pulls: Pulls,
    pub(super) start_up: StartUp,
    /// Peers whose copies were heard of at the start.
    pub(super) start_peers: Set<NodeName>,
    /// Digest of the peer with which versions are being compared.
    pub(super) compared: Option<Digest>,
    pub(super) last_read: Option<Instant>,
    pub(super) reachable: bool,
    /// State of this node.
    pub(super) state: NodeState,
    /// Requests to peers that are not answered yet.
    pub(super) unanswered: usize,
    /// When each node that the list still shows as live was heard to leave.
    pub(super) left: Map<NodeName, Instant>,
    pub(super) rng: SmallRng,
    epoch: u64,
    reader: bool,
    ready: bool,
}

impl Spread {
    /// The task.
    pub fn new(setup: SpreadSetup) -> Self {
        let view = View::new(MembershipConfig::default());
        Self {
            replica: Replica::new(),
            documents: VersionsInForce::new(),
            config_reads: ReaderPolicy::new(setup.reader),
            list_reads: ReaderPolicy::new(setup.reader),
            gossip: GossipPlan::new(setup.gossip, &setup.node, &view),
            pulls: Pulls::new(PullConfig::default()),
            start_up: StartUp::new(setup.start_up, setup.started),
            start_peers: Set::default(),
            compared: None,
            last_read: None,
            reachable: false,
            state: NodeState::Starting,
            unanswered: 0,
            left: Map::default(),
            rng: SmallRng::from_os_rng(),
            epoch: view.epoch(),
            reader: false,
            ready: false,
            view,
            setup,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                message = self.setup.rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                Some(word) = self.setup.words.recv() => self.hear(word),
                _ = tick.tick() => self.advance(),
            }
            self.read_if_due();
            self.serve_if_ready();
        }
    }

    fn handle(&mut self, message: SpreadMessage) {
        match message {
            SpreadMessage::ConfigRead(page) => self.config_read(page),
            SpreadMessage::ListRead(page) => self.list_read(page),
            SpreadMessage::Asked(request, reply) => {
                let _ = reply.send(self.answer(request));
            }
            SpreadMessage::Replied(node, reply) => {
                self.unanswered -= 1;
                self.replied(&node, reply);
            }
            SpreadMessage::NoReply => self.unanswered -= 1,
            SpreadMessage::Unreachable(node) => {
                self.unanswered -= 1;
                self.view.unreachable(&node, self.now());
                let event = Event::PeerDown { peer: node };
                self.setup.recorder.record(None, event);
                self.view_changed();
            }
            SpreadMessage::State(state) => {
                self.state = state;
                self.hear(self.own_word());
            }
            SpreadMessage::Documents(reply) => {
                let _ = reply.send(self.document_status());
            }
            SpreadMessage::Platform(reply) => {
                let _ = reply.send(self.platform_status());
            }
        }
    }

    /// Takes in entries from the platform or a peer and tells peers what is new.
    pub(super) fn apply(&mut self, entries: Vec<Entry>, complete: Option<Revision>) {
        let before = self.replica.digest();
        let mut news = Vec::new();
        for applied in self.replica.apply(entries, complete) {
            self.offer(&applied.entry);
            self.pulls
                .record_arrival(&applied.entry.key, applied.entry.revision);
            if applied.newest {
                news.push(applied.entry);
            }
        }
        self.start_up.update_replica(&self.replica);
        if !news.is_empty() {
            self.tell_news(&news);
        }
        if self.replica.digest() != before {
            self.publish();
        }
    }

    /// Puts a version in force, or shows why it can't be.
    fn offer(&mut self, entry: &Entry) {
        let Some(service) = service_of(&entry.key) else {
            return;
        };
        let parsed = Document::parse_for(&service, &entry.value).map(Arc::new);
        let fault = first_fault(&parsed);
        let revision = entry.revision.0;
        let event = match self.documents.offer(&entry.key, entry.revision, parsed) {
            OfferOutcome::InForce => {
                self.replica
                    .record_validation(&entry.key, entry.revision, ValidationResult::Valid);
                info!(self.setup.log, "document in force"; "document" => %service, "revision" => revision);
                Event::DocumentInForce { service, revision }
            }
            OfferOutcome::Rejected => {
                self.replica.record_validation(
                    &entry.key,
                    entry.revision,
                    ValidationResult::Invalid,
                );
                warn!(self.setup.log, "document rejected"; "document" => %service, "revision" => revision, "fault" => %fault);
                Event::DocumentRejected {
                    service,
                    revision,
                    fault,
                }
            }
            OfferOutcome::Unchanged => return,
            OfferOutcome::Refused(breach) => return self.setup.recorder.breach(breach),
        };
        self.setup.recorder.record(None, event);
    }

    /// Takes in what a node told about itself, and passes on what changed.
    pub(super) fn hear(&mut self, word: Word) {
        let now = self.now();
        let (node, state) = (word.node.clone(), word.state);
        if word.revision > self.replica.revision().0 {
            let after = self.replica.complete().0;
            self.ask(&node, ControlRequest::PullSince(after));
        }
        let outcome =
            self.view
                .record_report(&word.node, word.incarnation, word.state, word.tick, now);
        if outcome != StateReportOutcome::Changed {
            return;
        }
        match state {
            NodeState::Leaving => self.left.insert(node.clone(), now),
            NodeState::Starting | NodeState::Serving => self.left.remove(&node),
        };
        let event = match state {
            NodeState::Leaving => Event::PeerLeaving { peer: node },
            NodeState::Starting | NodeState::Serving => Event::PeerUp { peer: node },
        };
        self.setup.recorder.record(None, event);
        self.pass_on(&word);
        self.view_changed();
    }

    /// What this node tells about itself.
    pub(super) fn own_word(&self) -> Word {
        let age = self.now().saturating_duration_since(self.setup.started);
        Word {
            node: self.setup.node.clone(),
            incarnation: self.setup.incarnation,
            state: self.state,
            tick: Tick(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            revision: 0,
        }
    }

    fn advance(&mut self) {
        let now = self.now();
        if self.view.advance(now) {
            self.view_changed();
        }
        self.exchange_digests(now);
        self.retry_pulls(now);
        self.probe_left(now);
    }

    /// Lets the node serve once it has the newest of what the platform and its peers hold.
    ///
    /// While a peer is still asked, something newer, or the last good version behind an invalid one, may be on its way; a node
    /// that served before it came would act on an older document than all others.
    fn serve_if_ready(&mut self) {
        if self.ready || self.unanswered > 0 || !self.start_up.is_ready(self.now()) {
            return;
        }
        self.ready = true;
        self.publish();
    }

    /// Follows a changed view: other peers, perhaps another reader, and another snapshot.
    pub(super) fn view_changed(&mut self) {
        if self.view.epoch() == self.epoch {
            return;
        }
        self.epoch = self.view.epoch();
        let now = self.now();
        self.config_reads
            .update_view(&self.setup.node, &self.view, now);
        self.list_reads
            .update_view(&self.setup.node, &self.view, now);
        self.gossip.update(&self.setup.node, &self.view);
        if !self.ready {
            self.ask_at_start();
        }
        self.note_reader(
            self.config_reads
                .is_reader(&self.setup.node, &self.view, now),
        );
        self.publish();
    }

    fn note_reader(&mut self, reader: bool) {
        if reader == self.reader {
            return;
        }
        self.reader = reader;
        let event = if reader {
            Event::ReaderBecame
        } else {
            Event::ReaderCeased
        };
        self.setup.recorder.record(None, event);
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    pub(super) fn is_reader(&self) -> bool {
        self.reader
    }

    fn publish(&self) {
        let documents = self
            .documents
            .keys()
            .filter_map(|key| self.in_force(key))
            .collect();
        let nodes = self
            .view
            .all()
            .map(|entry| self.node_entry(entry))
            .collect();
        let revision = self.replica.revision().0;
        self.setup.metrics.documents.set_platform_revision(revision);
        self.setup.published.send_replace(Arc::new(Published {
            documents,
            nodes,
            revision,
            ready: self.ready,
        }));
    }

    fn in_force(&self, key: &Key) -> Option<(ServiceName, DocumentInForce)> {
        let version = self.documents.get(key)?;
        let document = Arc::clone(&version.value);
        let revision = version.revision.0;
        Some((service_of(key)?, DocumentInForce { revision, document }))
    }

    fn node_entry(&self, entry: &InstanceEntry) -> NodeEntry {
        NodeEntry {
            view: PeerView {
                node: entry.node.clone(),
                service: entry.service.clone(),
                domain: entry.domain.clone(),
                region: entry.region.clone(),
                incarnation: self.view.incarnation(&entry.node),
                leaving: !self.view.is_live(&entry.node),
            },
            peer: entry.peer,
            operators: entry.operators,
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.setup.clock.now()
    }
}

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// Prefix of the keys under which documents are published.
const DOCUMENTS: &str = "documents/";

pub(super) fn service_of(key: &Key) -> Option<ServiceName> {
    key.0.strip_prefix(DOCUMENTS).map(ServiceName::from)
}

fn first_fault(parsed: &Result<Arc<Document>, Vec<Fault>>) -> SmolStr {
    let faults = parsed.as_ref().err();
    let first = faults.and_then(|faults| faults.first());
    first
        .map(|fault| SmolStr::from(fault.to_string()))
        .unwrap_or_default()
}
