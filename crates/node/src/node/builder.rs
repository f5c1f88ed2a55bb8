//! Builds the components of a node and starts their tasks.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::admission::AdmissionConfig;
use coltsfootport_core::allowance::{Backoff, EdgeBudgetConfig, RetryPolicy};
use coltsfootport_core::dissemination::{GossipConfig, ReaderConfig, StartUpConfig};
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::jsonc::Fault;
use coltsfootport_core::lifecycle::{LifecycleConfig, LifecycleEvent};
use coltsfootport_core::once::{KeyRing, OnceConfig};
use coltsfootport_core::routing::RoutingConfig;
use coltsfootport_core::timeline::Event;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinHandle;

use super::NodeError;
use crate::clock::{SharedClock, SystemClock};
use crate::config::{AdmissionMode, Settings};
use crate::entry::{Dispatcher, DispatcherSetup, EntryLimits, EntryService, TokenIssuer};
use crate::gate::{Gate, GateHandle, GateSetup};
use crate::host::{Host, HostSetup, TargetClient};
use crate::http::{ListenerLimits, TargetPool};
use crate::metrics::Metrics;
use crate::peers::{FrameLimits, Hub, HubHandle, PeerServer, PeerServices, TlsMaterial, bind};
use crate::recorder::Recorder;
use crate::routes::{Routes, RoutesHandle, RoutesSetup};
use crate::spread::{
    PlatformClient, Published, SpreadHandle, SpreadMessage, SpreadSetup, SpreadTask, StateReport,
};

/// State shared by the components of a node; each method builds one component and starts its tasks.
pub(super) struct NodeBuilder {
    pub(super) settings: Settings,
    pub(super) incarnation: Incarnation,
    pub(super) metrics: Metrics,
    pub(super) recorder: Recorder,
    pub(super) published: watch::Receiver<Arc<Published>>,
    pub(super) log: Logger,
    clock: SharedClock,
    started: Instant,
}

/// The running gate task, its handle and its lifecycle events.
pub(super) struct RunningGate {
    pub(super) handle: GateHandle,
    pub(super) task: JoinHandle<()>,
    pub(super) lifecycle_events: mpsc::UnboundedReceiver<LifecycleEvent>,
}

/// QUIC endpoint of a node and the connections and streams to its peers.
pub(super) struct PeerTransport {
    pub(super) endpoint: quinn::Endpoint,
    pub(super) hub: HubHandle,
    pub(super) streams: Arc<Semaphore>,
}

/// Channels of the spread task, created before the task because other tasks send to them.
pub(super) struct SpreadChannels {
    pub(super) published: watch::Sender<Arc<Published>>,
    pub(super) words: mpsc::UnboundedReceiver<StateReport>,
    pub(super) tx: mpsc::UnboundedSender<SpreadMessage>,
    pub(super) rx: mpsc::UnboundedReceiver<SpreadMessage>,
}

impl NodeBuilder {
    /// Starts the timeline recorder. `published` receives the snapshots of the spread task.
    pub(super) fn new(
        settings: Settings,
        warnings: Vec<Fault>,
        published: watch::Receiver<Arc<Published>>,
        log: Logger,
    ) -> Result<Self, NodeError> {
        let clock: SharedClock = Arc::new(SystemClock);
        let metrics = Metrics::new()?;
        let name = settings.node.name.clone();
        let capacity = settings.timeline.capacity as usize;
        let (recorder, recording) =
            Recorder::new(name, Arc::clone(&clock), metrics.clone(), capacity);
        tokio::spawn(recording.run());
        for warning in warnings {
            let text = SmolStr::from(warning.to_string());
            recorder.record(None, Event::SettingsWarning { text });
        }
        Ok(Self {
            started: clock.now(),
            incarnation: Incarnation::random(),
            settings,
            metrics,
            recorder,
            published,
            log,
            clock,
        })
    }

    pub(super) fn gate(&self) -> RunningGate {
        let (lifecycle_tx, lifecycle_events) = mpsc::unbounded_channel();
        let (task, handle) = Gate::new(GateSetup {
            node: self.settings.node.name.clone(),
            service: self.settings.node.service.clone(),
            incarnation: self.incarnation,
            started: self.started,
            admission: AdmissionConfig::from(&self.settings),
            once: OnceConfig::from(&self.settings.once),
            lifecycle: LifecycleConfig::from(&self.settings.shutdown),
            clock: Arc::clone(&self.clock),
            recorder: self.recorder.clone(),
            published: self.published.clone(),
            lifecycle_events: lifecycle_tx,
        });
        let task = tokio::spawn(task.run());
        RunningGate {
            handle,
            task,
            lifecycle_events,
        }
    }

    pub(super) fn routes(&self, words: mpsc::UnboundedSender<StateReport>) -> RoutesHandle {
        let admission = &self.settings.admission;
        let (task, routes) = Routes::new(RoutesSetup {
            routing: RoutingConfig::from(&self.settings),
            budget: EdgeBudgetConfig::from(&self.settings.retries),
            level_shedding: admission.level_shedding && admission.mode == AdmissionMode::Adaptive,
            clock: Arc::clone(&self.clock),
            published: self.published.clone(),
            state_reports: words,
        });
        tokio::spawn(task.run());
        routes
    }

    pub(super) fn host(&self, gate: &GateHandle) -> Host {
        let target = &self.settings.target;
        let limits = &self.settings.limits;
        let (task, pool) = TargetPool::new(
            target.address,
            target.connections as usize,
            target.connect_timeout,
            limits.header_bytes as usize,
        );
        tokio::spawn(task.run());
        Host::new(HostSetup {
            service: self.settings.node.service.clone(),
            gate: gate.clone(),
            target: TargetClient::new(pool, target.address, limits.body_bytes as usize),
            incarnation: self.incarnation,
            clock: Arc::clone(&self.clock),
            recorder: self.recorder.clone(),
            metrics: self.metrics.clone(),
        })
    }

    pub(super) fn peers(
        &self,
        host: &Host,
        gate: &GateHandle,
        routes: &RoutesHandle,
        spread: &SpreadHandle,
    ) -> Result<PeerTransport, NodeError> {
        let limits = &self.settings.limits;
        let tls = &self.settings.tls;
        let tls = TlsMaterial::parse(&tls.ca_pem, &tls.cert_pem, tls.key_pem.expose())?;
        let address = self.settings.listen.peers;
        let endpoint = bind(address, &tls, limits.peer_streams, limits.idle_timeout)?;
        let streams = Arc::new(Semaphore::new(MAX_PEER_STREAMS));
        let services = PeerServices {
            streams: Arc::clone(&streams),
            host: host.clone(),
            gate: gate.clone(),
            routes: routes.clone(),
            spread: spread.clone(),
            clock: Arc::clone(&self.clock),
            recorder: self.recorder.clone(),
            metrics: self.metrics.clone(),
            limits: FrameLimits {
                head: FRAME_HEAD_OVERHEAD + limits.header_bytes as usize,
                body: limits.body_bytes as usize,
            },
            frame_timeout: limits.header_timeout,
        };
        let (hub_task, hub) = Hub::new(endpoint.clone(), services.clone(), limits.idle_timeout);
        tokio::spawn(hub_task.run());
        tokio::spawn(PeerServer::new(endpoint.clone(), services, hub.clone()).run());
        Ok(PeerTransport {
            endpoint,
            hub,
            streams,
        })
    }

    pub(super) fn spread(&self, channels: SpreadChannels, hub: &HubHandle) {
        let platform = &self.settings.platform;
        let task = SpreadTask::new(SpreadSetup {
            node: self.settings.node.name.clone(),
            incarnation: self.incarnation,
            started: self.started,
            reader: ReaderConfig::from(&self.settings),
            gossip: GossipConfig::from(&self.settings.spread),
            start_up: StartUpConfig::from(&self.settings.spread),
            platform: PlatformClient::new(platform.address, platform.timeout),
            hub: hub.clone(),
            clock: Arc::clone(&self.clock),
            recorder: self.recorder.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
            published: channels.published,
            state_reports: channels.words,
            tx: channels.tx,
            rx: channels.rx,
        });
        tokio::spawn(task.run());
    }

    pub(super) fn entry(
        &self,
        host: &Host,
        gate: &GateHandle,
        routes: &RoutesHandle,
        hub: &HubHandle,
    ) -> Result<EntryService, NodeError> {
        let keys = self.settings.fleet_keys.iter().map(Into::into);
        let keys = KeyRing::new(keys.collect())?;
        let tokens = TokenIssuer::new(routes.clone(), hub.clone(), Arc::new(keys));
        let dispatcher = Dispatcher::new(DispatcherSetup {
            node: self.settings.node.name.clone(),
            host: host.clone(),
            routes: routes.clone(),
            hub: hub.clone(),
            tokens: tokens.clone(),
            policy: RetryPolicy::default(),
            backoff: Backoff::from(&self.settings.retries),
            clock: Arc::clone(&self.clock),
            recorder: self.recorder.clone(),
            metrics: self.metrics.clone(),
        });
        let limits = &self.settings.limits;
        Ok(EntryService {
            dispatcher,
            tokens,
            gate: gate.clone(),
            published: self.published.clone(),
            call_slots: self.call_permits(),
            limits: EntryLimits {
                body_bytes: limits.body_bytes as usize,
                body_timeout: limits.header_timeout,
                allowance_enabled: self.settings.retries.allowance_enabled,
            },
            clock: Arc::clone(&self.clock),
            recorder: self.recorder.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        })
    }

    /// Creates the semaphore that limits the concurrent calls of one listener.
    pub(super) fn call_permits(&self) -> Arc<Semaphore> {
        Arc::new(Semaphore::new(self.settings.limits.in_flight as usize))
    }

    pub(super) fn listener_limits(&self) -> ListenerLimits {
        let limits = &self.settings.limits;
        ListenerLimits {
            connections: limits.connections as usize,
            header_bytes: limits.header_bytes as usize,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }
}

/// Maximum size of a frame's head in addition to the HTTP headers, in bytes.
const FRAME_HEAD_OVERHEAD: usize = 32 * 1024;

/// Maximum number of concurrently served streams from peers.
pub(super) const MAX_PEER_STREAMS: usize = 16_384;
