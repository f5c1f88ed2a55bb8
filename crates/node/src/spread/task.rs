//! The task that owns the local replica of published entries and the view of the fleet.

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

use super::{DocumentInForce, NodeEntry, Published, SpreadMessage, SpreadSetup, StateReport};

/// Actor that owns the replica and the view of the fleet, reads the platform and gossips with peers.
pub struct SpreadTask {
    pub(super) setup: SpreadSetup,
    pub(super) replica: Replica,
    pub(super) documents: VersionsInForce<Arc<Document>, Vec<Fault>>,
    pub(super) view: View,
    pub(super) config_reads: ReaderPolicy,
    pub(super) list_reads: ReaderPolicy,
    pub(super) gossip: GossipPlan,
    pub(super) pulls: Pulls,
    pub(super) start_up: StartUp,
    /// Serving peers whose digest has been received in a reply. Readiness takes their revisions into account.
    pub(super) startup_responders: Set<NodeName>,
    /// Digest of the peer to which the last version request was sent.
    pub(super) version_exchange: Option<Digest>,
    pub(super) last_read: Option<Instant>,
    pub(super) reachable: bool,
    /// Lifecycle state of this node.
    pub(super) state: NodeState,
    /// Number of requests to peers without a reply or error yet.
    pub(super) pending_requests: usize,
    /// Nodes that reported leaving, with the time of that report or of the last probe.
    pub(super) departed: Map<NodeName, Instant>,
    pub(super) rng: SmallRng,
    epoch: u64,
    reader: bool,
    ready: bool,
}

impl SpreadTask {
    /// Creates the task; `run` starts it.
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
            startup_responders: Set::default(),
            version_exchange: None,
            last_read: None,
            reachable: false,
            state: NodeState::Starting,
            pending_requests: 0,
            departed: Map::default(),
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
                Some(report) = self.setup.state_reports.recv() => self.record_state_report(report),
                _ = tick.tick() => self.run_periodic(),
            }
            self.read_if_due();
            self.update_readiness();
        }
    }

    fn handle(&mut self, message: SpreadMessage) {
        match message {
            SpreadMessage::ConfigRead(page) => self.handle_config_read(page),
            SpreadMessage::ListRead(page) => self.handle_list_read(page),
            SpreadMessage::Request(request, reply) => {
                let _ = reply.send(self.handle_request(request));
            }
            SpreadMessage::Reply(node, reply) => {
                self.pending_requests -= 1;
                self.handle_reply(&node, reply);
            }
            SpreadMessage::NoReply => self.pending_requests -= 1,
            SpreadMessage::Unreachable(node) => {
                self.pending_requests -= 1;
                self.view.unreachable(&node, self.now());
                let event = Event::PeerDown { peer: node };
                self.setup.recorder.record(None, event);
                self.view_changed();
            }
            SpreadMessage::StateChanged(state) => {
                self.state = state;
                self.record_state_report(self.own_state_report());
            }
            SpreadMessage::DocumentStatus(reply) => {
                let _ = reply.send(self.document_status());
            }
            SpreadMessage::PlatformStatus(reply) => {
                let _ = reply.send(self.platform_status());
            }
        }
    }

    /// Applies entries from the platform or a peer to the replica and pushes the new ones to peers.
    pub(super) fn apply(&mut self, entries: Vec<Entry>, complete: Option<Revision>) {
        let before = self.replica.digest();
        let mut new_entries = Vec::new();
        for applied in self.replica.apply(entries, complete) {
            self.offer_document(&applied.entry);
            self.pulls
                .record_arrival(&applied.entry.key, applied.entry.revision);
            if applied.newest {
                new_entries.push(applied.entry);
            }
        }
        self.start_up.update_replica(&self.replica);
        if !new_entries.is_empty() {
            self.push_entries(&new_entries);
        }
        if self.replica.digest() != before {
            self.publish();
        }
    }

    /// Parses a document version and puts it in force, or records why it was rejected.
    fn offer_document(&mut self, entry: &Entry) {
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
            OfferOutcome::Refused(breach) => return self.setup.recorder.report_breach(breach),
        };
        self.setup.recorder.record(None, event);
    }

    /// Applies a state report to the view, and forwards it to peers if it changed the view.
    pub(super) fn record_state_report(&mut self, report: StateReport) {
        let now = self.now();
        let (node, state) = (report.node.clone(), report.state);
        if report.revision > self.replica.revision().0 {
            let after = self.replica.complete().0;
            self.send_request(&node, ControlRequest::PullSince(after));
        }
        let outcome = self.view.record_report(
            &report.node,
            report.incarnation,
            report.state,
            report.tick,
            now,
        );
        if outcome != StateReportOutcome::Changed {
            return;
        }
        match state {
            NodeState::Leaving => self.departed.insert(node.clone(), now),
            NodeState::Starting | NodeState::Serving => self.departed.remove(&node),
        };
        let event = match state {
            NodeState::Leaving => Event::PeerLeaving { peer: node },
            NodeState::Starting | NodeState::Serving => Event::PeerUp { peer: node },
        };
        self.setup.recorder.record(None, event);
        self.forward_state_report(&report);
        self.view_changed();
    }

    /// Returns this node's report about itself.
    pub(super) fn own_state_report(&self) -> StateReport {
        let age = self.now().saturating_duration_since(self.setup.started);
        StateReport {
            node: self.setup.node.clone(),
            incarnation: self.setup.incarnation,
            state: self.state,
            tick: Tick(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            revision: 0,
        }
    }

    /// Expires reports in the view and starts the digest exchanges, retries and probes that are due.
    fn run_periodic(&mut self) {
        let now = self.now();
        if self.view.advance(now) {
            self.view_changed();
        }
        self.exchange_digests(now);
        self.retry_pulls(now);
        self.probe_departed(now);
    }

    /// Marks the node as ready once its replica is as new as the platform and its peers, within the limits of `StartUp`.
    ///
    /// While a request to a peer is pending, its reply may bring a newer entry, or the last valid version behind an invalid
    /// one. A node that served before it arrived would act on an older document than all other nodes.
    fn update_readiness(&mut self) {
        if self.ready || self.pending_requests > 0 || !self.start_up.is_ready(self.now()) {
            return;
        }
        self.ready = true;
        self.publish();
    }

    /// Updates push targets, the reader role and the published snapshot if the view has changed.
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
            self.request_startup_digests();
        }
        self.set_reader(
            self.config_reads
                .is_reader(&self.setup.node, &self.view, now),
        );
        self.publish();
    }

    /// Records a timeline event when this node becomes a reader or ceases to be one.
    fn set_reader(&mut self, reader: bool) {
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

/// Interval of the periodic work.
const TICK: Duration = Duration::from_millis(100);

/// Prefix of document keys in the configuration service.
const DOCUMENT_KEY_PREFIX: &str = "documents/";

pub(super) fn service_of(key: &Key) -> Option<ServiceName> {
    key.0
        .strip_prefix(DOCUMENT_KEY_PREFIX)
        .map(ServiceName::from)
}

fn first_fault(parsed: &Result<Arc<Document>, Vec<Fault>>) -> SmolStr {
    let faults = parsed.as_ref().err();
    let first = faults.and_then(|faults| faults.first());
    first
        .map(|fault| SmolStr::from(fault.to_string()))
        .unwrap_or_default()
}
