//! Builds the tasks of a node out of its settings.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootport_core::admission::AdmissionConfig;
use coltsfootport_core::allowance::{Backoff, EdgeBudgetConfig, RetryPolicy};
use coltsfootport_core::dissemination::{GossipConfig, ReaderConfig, StartUpConfig};
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::jsonc::Fault;
use coltsfootport_core::lifecycle::LifecycleConfig;
use coltsfootport_core::once::{KeyRing, KeyRingError, OnceConfig};
use coltsfootport_core::routing::RoutingConfig;
use coltsfootport_core::timeline::Event;
use slog::{Logger, info};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};

use super::desk::{Desk, DeskSetup};
use super::life::Life;
use super::meter::meter;
use crate::clock::{SharedClock, SystemClock};
use crate::config::{AdmissionMode, Settings};
use crate::entry::{Dispatcher, DispatcherSetup, EntryLimits, EntryService, TokenIssuer};
use crate::gate::{Gate, GateSetup};
use crate::host::{Host, HostSetup, TargetClient};
use crate::http::{Listener, ListenerLimits, ListenerStage, TargetPool};
use crate::metrics::Metrics;
use crate::operators::{self, QUERY_QUEUE};
use crate::peers::{FrameLimits, Hub, PeerServer, PeerServices, TlsError, TlsMaterial, bind};
use crate::recorder::Recorder;
use crate::routes::{Routes, RoutesSetup};
use crate::spread::{PlatformClient, Published, Spread, SpreadHandle, SpreadSetup};

/// Why a node could not start or run on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be bound.
    #[error("{listener} listener on {address}: {source}")]
    Bind {
        /// Which one.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Certificates or the key can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The fleet's keys can't be used.
    #[error("fleet_keys: {0}")]
    Keys(#[from] KeyRingError),
    /// The metrics are defined wrongly.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs a node until it has been stopped and its last call has ended.
pub async fn run(settings: Settings, warnings: Vec<Fault>, log: Logger) -> Result<(), NodeError> {
    let clock: SharedClock = Arc::new(SystemClock);
    let started = clock.now();
    let incarnation = Incarnation::random();
    let metrics = Metrics::new()?;
    let capacity = settings.timeline.capacity as usize;
    let name = settings.node.name.clone();
    let (recorder, recording) =
        Recorder::new(name.clone(), Arc::clone(&clock), metrics.clone(), capacity);
    tokio::spawn(recording.run());
    for warning in warnings {
        let text = SmolStr::from(warning.to_string());
        recorder.record(None, Event::SettingsWarning { text });
    }

    let (published_tx, published) = watch::channel(Arc::new(Published::default()));
    let (life_tx, life_rx) = mpsc::unbounded_channel();
    let (gate_task, gate) = Gate::new(GateSetup {
        node: name.clone(),
        service: settings.node.service.clone(),
        incarnation,
        started,
        admission: AdmissionConfig::from(&settings),
        once: OnceConfig::from(&settings.once),
        lifecycle: LifecycleConfig::from(&settings.shutdown),
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        published: published.clone(),
        life: life_tx,
    });
    let gate_task = tokio::spawn(gate_task.run());

    let (words_tx, words) = mpsc::unbounded_channel();
    let (routes_task, routes) = Routes::new(RoutesSetup {
        routing: RoutingConfig::from(&settings),
        budget: EdgeBudgetConfig::from(&settings.retries),
        level_shedding: sheds_early(&settings),
        clock: Arc::clone(&clock),
        published: published.clone(),
        words: words_tx,
    });
    tokio::spawn(routes_task.run());

    let (spread_tx, spread_rx) = mpsc::unbounded_channel();
    let spread = SpreadHandle::new(spread_tx.clone());

    let body_limit = settings.limits.body_bytes as usize;
    let (pool_task, pool) = TargetPool::new(
        settings.target.address,
        settings.target.connections as usize,
        settings.target.connect_timeout,
        settings.limits.header_bytes as usize,
    );
    tokio::spawn(pool_task.run());
    let host = Host::new(HostSetup {
        service: settings.node.service.clone(),
        gate: gate.clone(),
        target: TargetClient::new(pool, settings.target.address, body_limit),
        incarnation,
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
    });

    let tls = TlsMaterial::parse(
        &settings.tls.ca_pem,
        &settings.tls.cert_pem,
        settings.tls.key_pem.expose(),
    )?;
    let endpoint = bind(
        settings.listen.peers,
        &tls,
        settings.limits.peer_streams,
        settings.limits.idle_timeout,
    )?;
    let frames = FrameLimits {
        head: HEAD_ALLOWANCE + settings.limits.header_bytes as usize,
        body: body_limit,
    };
    let streams = Arc::new(Semaphore::new(MOST_STREAMS as usize));
    let services = PeerServices {
        streams: Arc::clone(&streams),
        host: host.clone(),
        gate: gate.clone(),
        routes: routes.clone(),
        spread: spread.clone(),
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        limits: frames,
        frame_time: settings.limits.header_timeout,
    };
    let (hub_task, hub) = Hub::new(endpoint.clone(), services.clone());
    tokio::spawn(hub_task.run());
    tokio::spawn(PeerServer::new(endpoint.clone(), services, hub.clone()).run());

    let spread_task = Spread::new(SpreadSetup {
        node: name.clone(),
        incarnation,
        started,
        reader: ReaderConfig::from(&settings),
        gossip: GossipConfig::from(&settings.spread),
        start_up: StartUpConfig::from(&settings.spread),
        platform: PlatformClient::new(settings.platform.address, settings.platform.timeout),
        hub: hub.clone(),
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        published: published_tx,
        words,
        tx: spread_tx,
        rx: spread_rx,
    });
    tokio::spawn(spread_task.run());

    let keys = KeyRing::new(settings.fleet_keys.iter().map(Into::into).collect())?;
    let tokens = TokenIssuer::new(routes.clone(), hub.clone(), Arc::new(keys));
    let dispatcher = Dispatcher::new(DispatcherSetup {
        node: name.clone(),
        host: host.clone(),
        routes: routes.clone(),
        hub: hub.clone(),
        tokens: tokens.clone(),
        policy: RetryPolicy::default(),
        backoff: Backoff::from(&settings.retries),
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
    });
    let entry = EntryService {
        dispatcher,
        tokens,
        gate: gate.clone(),
        published: published.clone(),
        places: Arc::new(Semaphore::new(settings.limits.in_flight as usize)),
        limits: EntryLimits {
            body_bytes: body_limit,
            body_time: settings.limits.header_timeout,
            allowance_enabled: settings.retries.allowance_enabled,
        },
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    };

    let (listeners, stage) = watch::channel(ListenerStage::Open);
    let limits = ListenerLimits {
        connections: settings.limits.connections as usize,
        header_bytes: settings.limits.header_bytes as usize,
        header_timeout: settings.limits.header_timeout,
        idle_timeout: settings.limits.idle_timeout,
    };
    let callers = listen("callers", settings.listen.callers).await?;
    let egress = listen("egress", settings.listen.egress).await?;
    let for_operators = listen("operators", settings.listen.operators).await?;
    let callers = Listener::new(callers, limits, stage.clone());
    let egress = Listener::new(egress, limits, stage);
    // Calls of the target have places of their own: were all taken by callers, none of these could ever end.
    let for_target = EntryService {
        places: Arc::new(Semaphore::new(settings.limits.in_flight as usize)),
        ..entry.clone()
    };
    let callers = tokio::spawn(
        callers.run(move |req, connection| entry.clone().serve_caller(req, connection)),
    );
    tokio::spawn(
        egress.run(move |req, connection| for_target.clone().serve_target(req, connection)),
    );

    let (queries_tx, queries) = mpsc::channel(QUERY_QUEUE);
    let (stop, stopping) = watch::channel(false);
    let desk = Desk::new(DeskSetup {
        settings: settings.clone(),
        incarnation,
        gate: gate.clone(),
        routes: routes.clone(),
        spread: spread.clone(),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        published: published.clone(),
        stop,
        queries,
    });
    tokio::spawn(desk.run());
    tokio::spawn(meter(
        gate.clone(),
        routes,
        metrics.clone(),
        settings.once.capacity as usize,
    ));
    tokio::spawn(operators::serve(for_operators, queries_tx, metrics));
    info!(log, "node started"; "incarnation" => incarnation.to_string());

    let life = Life {
        gate,
        host,
        hub,
        spread: spread.clone(),
        recorder,
        published,
        stopping,
        listeners,
        events: life_rx,
        log,
    };
    tokio::select! {
        () = life.run() => {}
        // Without its gate a node can decide nothing; ending is the one safe thing.
        _ = gate_task => {}
    }
    // Requests that this node still carries to other hosts are answered before it ends.
    let _ = tokio::time::timeout(settings.shutdown.drain, callers).await;
    // The last answers are still on their way to other nodes.
    let _ = tokio::time::timeout(LAST_ANSWERS, all_free(&streams)).await;
    endpoint.close(quinn::VarInt::from_u32(0), b"stopped");
    let _ = tokio::time::timeout(CLOSE_PATIENCE, endpoint.wait_idle()).await;
    Ok(())
}

/// Bytes of a frame's head beyond the HTTP headers.
const HEAD_ALLOWANCE: usize = 32 * 1024;

/// Streams of peers that are served at a time.
const MOST_STREAMS: u32 = 16_384;

/// How long the last answers to peers may take once nothing is in flight.
const LAST_ANSWERS: std::time::Duration = std::time::Duration::from_secs(5);

/// How long peers are given to take in that connections are closed.
const CLOSE_PATIENCE: std::time::Duration = std::time::Duration::from_millis(500);

/// Waits until no stream is served; streams that come meanwhile are still answered, by refusals.
async fn all_free(streams: &Semaphore) {
    while streams.available_permits() < MOST_STREAMS as usize {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Time between two looks at the streams of a node that ends.
const LOOK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(5);

fn sheds_early(settings: &Settings) -> bool {
    settings.admission.level_shedding && settings.admission.mode == AdmissionMode::Adaptive
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Bind {
            listener,
            address,
            source,
        })
}
