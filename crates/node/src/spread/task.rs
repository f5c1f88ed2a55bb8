//! The task that owns the node's copy of what is published.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::{Entry, InForce, Key, Offer, Replica, Revision, Verdict};
use coltsfootport_core::document::Document;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::jsonc::Fault;
use coltsfootport_core::membership::{MembershipConfig, View};
use coltsfootport_core::routing::PeerView;
use coltsfootport_core::timeline::Event;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};

use super::platform_client::{ConfigEntry, ConfigPage, InstancePage};
use super::{DocumentInForce, NodeEntry, PlatformClient, Published, Word};
use crate::clock::SharedClock;
use crate::metrics::{Metrics, PlatformRead};
use crate::operators::{DocumentStatus, PlatformStatus};
use crate::recorder::Recorder;

/// What the task is made of.
pub struct SpreadSetup {
    /// Reads the platform.
    pub platform: PlatformClient,
    /// How long one read waits at the platform for news.
    pub watch: Duration,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Where snapshots are published to the other tasks.
    pub published: watch::Sender<Arc<Published>>,
    /// Words of nodes about themselves.
    pub words: mpsc::UnboundedReceiver<Word>,
}

/// The task that owns the replica of published entries and the view of the fleet.
pub struct Spread {
    replica: Replica,
    documents: InForce<Arc<Document>, Vec<Fault>>,
    view: View,
    platform: PlatformClient,
    watch: Duration,
    last_read: Option<Instant>,
    reachable: bool,
    clock: SharedClock,
    recorder: Recorder,
    metrics: Metrics,
    published: watch::Sender<Arc<Published>>,
    words: mpsc::UnboundedReceiver<Word>,
    tx: mpsc::UnboundedSender<SpreadMessage>,
    rx: mpsc::UnboundedReceiver<SpreadMessage>,
}

/// Handle to the task.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    tx: mpsc::UnboundedSender<SpreadMessage>,
}

#[derive(Debug)]
enum SpreadMessage {
    Config(Option<ConfigPage>),
    Instances(Option<InstancePage>),
    Documents(oneshot::Sender<Vec<DocumentStatus>>),
    Platform(oneshot::Sender<PlatformStatus>),
}

impl Spread {
    /// The task and its handle.
    pub fn new(setup: SpreadSetup) -> (Self, SpreadHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = SpreadHandle { tx: tx.clone() };
        let spread = Self {
            replica: Replica::new(),
            documents: InForce::new(),
            view: View::new(MembershipConfig::default()),
            platform: setup.platform,
            watch: setup.watch,
            last_read: None,
            reachable: false,
            clock: setup.clock,
            recorder: setup.recorder,
            metrics: setup.metrics,
            published: setup.published,
            words: setup.words,
            tx,
            rx,
        };
        (spread, handle)
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        self.read_config();
        self.read_instances();
        let mut tick = tokio::time::interval(ADVANCE_INTERVAL);
        loop {
            tokio::select! {
                message = self.rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                Some(word) = self.words.recv() => self.hear(word),
                _ = tick.tick() => self.advance(),
            }
        }
    }

    fn handle(&mut self, message: SpreadMessage) {
        match message {
            SpreadMessage::Config(page) => self.config_read(page),
            SpreadMessage::Instances(page) => self.instances_read(page),
            SpreadMessage::Documents(reply) => {
                let _ = reply.send(self.document_status());
            }
            SpreadMessage::Platform(reply) => {
                let _ = reply.send(self.platform_status());
            }
        }
    }

    fn read_config(&self) {
        let (platform, watch, tx) = (self.platform, self.watch, self.tx.clone());
        let after = self.replica.complete().0;
        tokio::spawn(async move {
            let page = platform.config(after, watch).await.ok();
            if page.is_none() {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            let _ = tx.send(SpreadMessage::Config(page));
        });
    }

    fn read_instances(&self) {
        let (platform, watch, tx) = (self.platform, self.watch, self.tx.clone());
        let after = self.view.revision().0;
        tokio::spawn(async move {
            let page = platform.instances(after, watch).await.ok();
            if page.is_none() {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            let _ = tx.send(SpreadMessage::Instances(page));
        });
    }

    fn config_read(&mut self, page: Option<ConfigPage>) {
        self.note_read(page.as_ref().map(|page| !page.entries.is_empty()));
        if let Some(page) = page {
            let entries = page.entries.into_iter().map(Entry::from).collect();
            self.apply(entries, Some(Revision(page.revision)));
        }
        self.read_config();
    }

    fn instances_read(&mut self, page: Option<InstancePage>) {
        self.note_read(page.as_ref().map(|page| !page.instances.is_empty()));
        if let Some(page) = page.filter(|page| !page.instances.is_empty()) {
            let now = self.clock.now();
            self.view
                .apply_list(Revision(page.revision), page.instances, now);
            self.publish();
        }
        self.read_instances();
    }

    fn note_read(&mut self, news: Option<bool>) {
        let end = match news {
            Some(true) => PlatformRead::News,
            Some(false) => PlatformRead::Nothing,
            None => PlatformRead::Failed,
        };
        self.metrics.documents.read(end);
        self.reachable = news.is_some();
        if self.reachable {
            self.last_read = Some(self.clock.now());
        }
    }

    fn apply(&mut self, entries: Vec<Entry>, highest: Option<Revision>) {
        for applied in self.replica.apply(entries, highest) {
            self.offer(&applied.entry);
        }
        self.metrics
            .documents
            .set_platform_revision(self.replica.revision().0);
        self.publish();
    }

    fn offer(&mut self, entry: &Entry) {
        let Some(service) = service_of(&entry.key) else {
            return;
        };
        let parsed = Document::parse_for(&service, &entry.value).map(Arc::new);
        let fault = parsed
            .as_ref()
            .err()
            .and_then(|faults| faults.first())
            .map(Fault::to_string);
        let revision = entry.revision.0;
        match self.documents.offer(&entry.key, entry.revision, parsed) {
            Offer::InForce => {
                self.replica
                    .judge(&entry.key, entry.revision, Verdict::Valid);
                self.metrics.documents.set_in_force(&service, revision);
                self.recorder
                    .record(None, Event::DocumentInForce { service, revision });
            }
            Offer::Rejected => {
                self.replica
                    .judge(&entry.key, entry.revision, Verdict::Invalid);
                self.metrics.documents.rejected(&service);
                let fault = SmolStr::from(fault.unwrap_or_default());
                self.recorder.record(
                    None,
                    Event::DocumentRejected {
                        service,
                        revision,
                        fault,
                    },
                );
            }
            Offer::Unchanged => {}
            Offer::Refused(breach) => self.recorder.breach(breach),
        }
    }

    fn hear(&mut self, word: Word) {
        let now = self.clock.now();
        self.view
            .heard(&word.node, word.incarnation, word.state, word.tick, now);
        self.publish();
    }

    fn advance(&mut self) {
        if self.view.advance(self.clock.now()) {
            self.publish();
        }
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
        self.published.send_replace(Arc::new(Published {
            documents,
            nodes,
            revision,
        }));
    }

    fn in_force(&self, key: &Key) -> Option<(ServiceName, DocumentInForce)> {
        let version = self.documents.get(key)?;
        let document = Arc::clone(&version.value);
        let revision = version.revision.0;
        Some((service_of(key)?, DocumentInForce { revision, document }))
    }

    fn node_entry(&self, entry: &coltsfootport_core::membership::InstanceEntry) -> NodeEntry {
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

    fn document_status(&self) -> Vec<DocumentStatus> {
        self.documents
            .keys()
            .filter_map(|key| self.status_of(key))
            .collect()
    }

    fn status_of(&self, key: &Key) -> Option<DocumentStatus> {
        let rejected = self.documents.rejected(key);
        let faults = rejected
            .map(|rejected| rejected.faults.as_slice())
            .unwrap_or_default();
        Some(DocumentStatus {
            service: service_of(key)?,
            revision: self.replica.get(key).map_or(0, |entry| entry.revision.0),
            in_force: self.documents.get(key).map(|version| version.revision.0),
            rejected: faults
                .iter()
                .map(|fault| SmolStr::from(fault.to_string()))
                .collect(),
        })
    }

    fn platform_status(&self) -> PlatformStatus {
        let now = self.clock.now();
        let age = self
            .last_read
            .map(|at| now.saturating_duration_since(at).as_millis() as u64);
        PlatformStatus {
            reachable: self.reachable,
            last_read_ms: age,
            revision: self.replica.revision().0,
            reader: true,
        }
    }
}

impl SpreadHandle {
    /// State of every document.
    pub async fn documents(&self) -> Vec<DocumentStatus> {
        self.ask(SpreadMessage::Documents).await.unwrap_or_default()
    }

    /// State of the platform as seen from here.
    pub async fn platform(&self) -> PlatformStatus {
        self.ask(SpreadMessage::Platform).await.unwrap_or_default()
    }

    async fn ask<T, M>(&self, message: M) -> Option<T>
    where
        M: FnOnce(oneshot::Sender<T>) -> SpreadMessage,
    {
        let (reply, answer) = oneshot::channel();
        self.tx.send(message(reply)).ok()?;
        answer.await.ok()
    }
}

const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const ADVANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Prefix of the keys under which documents are published.
const DOCUMENTS: &str = "documents/";

fn service_of(key: &Key) -> Option<ServiceName> {
    key.0.strip_prefix(DOCUMENTS).map(ServiceName::from)
}

impl From<ConfigEntry> for Entry {
    fn from(entry: ConfigEntry) -> Self {
        Self {
            key: Key::from(entry.key.as_str()),
            revision: Revision(entry.revision),
            value: Arc::from(entry.value),
        }
    }
}
