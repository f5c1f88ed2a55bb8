//! Builds the tasks of a node out of its settings.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootport_core::admission::AdmissionConfig;
use coltsfootport_core::allowance::{Backoff, EdgeBudgetConfig, RetryPolicy};
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::lifecycle::LifecycleConfig;
use coltsfootport_core::once::{KeyRing, KeyRingError, OnceConfig};
use coltsfootport_core::routing::RoutingConfig;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::desk::{Desk, DeskSetup};
use super::life::Life;
use crate::clock::{SharedClock, SystemClock};
use crate::config::{AdmissionMode, Settings};
use crate::entry::{Dispatcher, DispatcherSetup, EntryLimits, EntryService, TokenIssuer};
use crate::gate::{Gate, GateSetup};
use crate::host::{Host, HostSetup, TargetClient};
use crate::http::{Listener, ListenerLimits, TargetPool};
use crate::metrics::Metrics;
use crate::operators::{self, QUERY_QUEUE};
use crate::peers::{
    FrameLimits, Hub, PeerServer, PeerServices, Replies, TlsError, TlsMaterial, bind,
};
use crate::recorder::Recorder;
use crate::routes::{Routes, RoutesSetup};
use crate::spread::{PlatformClient, Published, Spread, SpreadSetup};

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
pub async fn run(settings: Settings, log: Logger) -> Result<(), NodeError> {
    let clock: SharedClock = Arc::new(SystemClock);
    let started = clock.now();
    let incarnation = Incarnation::random();
    let metrics = Metrics::new()?;
    let capacity = settings.timeline.capacity as usize;
    let name = settings.node.name.clone();
    let (recorder, recording) =
        Recorder::new(name.clone(), Arc::clone(&clock), metrics.clone(), capacity);
    tokio::spawn(recording.run());

    let (life_tx, life_rx) = mpsc::unbounded_channel();
    let (gate_task, gate) = Gate::new(GateSetup {
        node: name.clone(),
        incarnation,
        started,
        admission: AdmissionConfig::from(&settings.admission),
        once: OnceConfig::from(&settings.once),
        lifecycle: LifecycleConfig::from(&settings.shutdown),
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        life: life_tx,
    });
    let gate_task = tokio::spawn(gate_task.run());

    let (published_tx, published) = watch::channel(Arc::new(Published::default()));
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

    let platform = PlatformClient::new(settings.platform.address, settings.platform.timeout);
    let (spread_task, spread) = Spread::new(SpreadSetup {
        platform,
        watch: settings.platform.watch,
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        published: published_tx,
        words,
    });
    tokio::spawn(spread_task.run());

    let body_limit = settings.limits.body_bytes as usize;
    let (pool_task, pool) = TargetPool::new(
        settings.target.address,
        settings.target.connections as usize,
        settings.target.connect_timeout,
    );
    tokio::spawn(pool_task.run());
    let host = Host::new(HostSetup {
        gate: gate.clone(),
        target: TargetClient::new(pool, settings.target.address, body_limit),
        incarnation,
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
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
    let replies = Replies::new();
    let services = PeerServices {
        host: host.clone(),
        gate: gate.clone(),
        routes: routes.clone(),
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        limits: frames,
        replies: replies.clone(),
    };
    let (hub_task, hub) = Hub::new(
        endpoint.clone(),
        services.clone(),
        settings.target.connect_timeout,
    );
    tokio::spawn(hub_task.run());
    tokio::spawn(PeerServer::new(endpoint.clone(), services, hub.clone()).run());

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
        limits: EntryLimits {
            body_bytes: body_limit,
            allowance_enabled: settings.retries.allowance_enabled,
        },
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
    };

    let (closing, closed) = watch::channel(false);
    let limits = ListenerLimits {
        connections: settings.limits.connections as usize,
        header_bytes: settings.limits.header_bytes as usize,
        header_timeout: settings.limits.header_timeout,
    };
    let callers = listen("callers", settings.listen.callers).await?;
    let egress = listen("egress", settings.listen.egress).await?;
    let for_operators = listen("operators", settings.listen.operators).await?;
    let callers = Listener::new(callers, limits, closed.clone());
    let egress = Listener::new(egress, limits, closed.clone());
    let for_callers = entry.clone();
    let callers = tokio::spawn(
        callers.run(move |req, connection| for_callers.clone().serve_caller(req, connection)),
    );
    tokio::spawn(egress.run(move |req, connection| entry.clone().serve_target(req, connection)));

    let (queries_tx, queries) = mpsc::channel(QUERY_QUEUE);
    let (stop, stopping) = watch::channel(false);
    let desk = Desk::new(DeskSetup {
        settings: settings.clone(),
        incarnation,
        gate: gate.clone(),
        routes: routes.clone(),
        spread,
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        published: published.clone(),
        stop,
        queries,
    });
    tokio::spawn(desk.run());
    tokio::spawn(operators::serve(for_operators, queries_tx, metrics));
    info!(log, "node started"; "incarnation" => incarnation.to_string());

    let life = Life {
        gate,
        host,
        hub,
        recorder,
        published,
        stopping,
        closing,
        events: life_rx,
        log,
    };
    tokio::select! {
        () = life.run() => {}
        // Without its gate a node can decide nothing; ending is the one safe thing.
        _ = gate_task => {}
    }
    let _ = callers.await;
    let _ = tokio::time::timeout(REPLY_PATIENCE, replies.delivered()).await;
    endpoint.close(quinn::VarInt::from_u32(0), b"stopped");
    let _ = tokio::time::timeout(CLOSE_PATIENCE, endpoint.wait_idle()).await;
    Ok(())
}

/// Bytes of a frame's head beyond the HTTP headers.
const HEAD_ALLOWANCE: usize = 32 * 1024;

/// How long the replies of the last calls may be under way.
const REPLY_PATIENCE: std::time::Duration = std::time::Duration::from_secs(2);

/// How long peers are given to take in that connections are closed.
const CLOSE_PATIENCE: std::time::Duration = std::time::Duration::from_millis(500);

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
