//! Startup, main loop and final shutdown of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootport_core::jsonc::Fault;
use coltsfootport_core::once::KeyRingError;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::builder::{MAX_PEER_STREAMS, NodeBuilder, PeerTransport, SpreadChannels};
use super::gauges::update_gauges;
use super::lifecycle::NodeLifecycle;
use super::operator_queries::{QueryHandler, QueryHandlerSetup};
use crate::config::Settings;
use crate::entry::EntryService;
use crate::gate::GateHandle;
use crate::http::{Listener, ListenerStage};
use crate::operators::{self, QUERY_QUEUE_CAPACITY};
use crate::peers::TlsError;
use crate::routes::RoutesHandle;
use crate::spread::{Published, SpreadHandle};

/// Reason why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be bound.
    #[error("cannot bind {listener} listener on {address}: {source}")]
    Bind {
        /// Name of the listener.
        listener: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The certificates or the private key are invalid.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The fleet's keys are invalid.
    #[error("fleet_keys: {0}")]
    Keys(#[from] KeyRingError),
    /// The metrics could not be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs a node until it has been stopped and its last call has ended.
pub async fn run(settings: Settings, warnings: Vec<Fault>, log: Logger) -> Result<(), NodeError> {
    let (published_tx, published) = watch::channel(Arc::new(Published::default()));
    let builder = NodeBuilder::new(settings, warnings, published, log)?;
    let (words_tx, words) = mpsc::unbounded_channel();
    let (spread_tx, spread_rx) = mpsc::unbounded_channel();
    let spread = SpreadHandle::new(spread_tx.clone());
    let gate = builder.gate();
    let routes = builder.routes(words_tx);
    let host = builder.host(&gate.handle);
    let peers = builder.peers(&host, &gate.handle, &routes, &spread)?;
    let channels = SpreadChannels {
        published: published_tx,
        words,
        tx: spread_tx,
        rx: spread_rx,
    };
    builder.spread(channels, &peers.hub);
    let entry = builder.entry(&host, &gate.handle, &routes, &peers.hub)?;
    let (listeners, stage) = watch::channel(ListenerStage::Open);
    let callers = serve_http(&builder, entry, stage).await?;
    let stopping = serve_operators(&builder, &gate.handle, routes, &spread).await?;
    info!(builder.log, "node started"; "incarnation" => builder.incarnation.to_string());
    let lifecycle = NodeLifecycle {
        gate: gate.handle,
        host,
        hub: peers.hub.clone(),
        spread,
        recorder: builder.recorder.clone(),
        published: builder.published.clone(),
        stopping,
        listeners,
        events: gate.lifecycle_events,
        log: builder.log.clone(),
    };
    tokio::select! {
        () = lifecycle.run() => {}
        // Without its gate, the node cannot decide which calls may run, so it has to shut down.
        _ = gate.task => {}
    }
    // Wait for the requests that this node is still forwarding to other hosts.
    let _ = timeout(builder.settings.shutdown.drain, callers).await;
    close_peers(peers).await;
    Ok(())
}

/// Opens the callers' and egress listeners.
///
/// Returns the task of the callers' listener, which ends with its last connection.
async fn serve_http(
    builder: &NodeBuilder,
    entry: EntryService,
    stage: watch::Receiver<ListenerStage>,
) -> Result<JoinHandle<()>, NodeError> {
    let listen = &builder.settings.listen;
    let limits = builder.listener_limits();
    let callers = Listener::new(
        bind("callers", listen.callers).await?,
        limits,
        stage.clone(),
    );
    let egress = Listener::new(bind("egress", listen.egress).await?, limits, stage);
    // Calls of the target have their own permits. If callers could take them all, their calls would wait forever for
    // downstream calls that cannot start.
    let for_target = EntryService {
        call_slots: builder.call_permits(),
        ..entry.clone()
    };
    tokio::spawn(
        egress.run(move |req, connection| for_target.clone().serve_target(req, connection)),
    );
    Ok(tokio::spawn(callers.run(move |req, connection| {
        entry.clone().serve_caller(req, connection)
    })))
}

/// Opens the operators' listener. The returned receiver is set to true when an operator requests a drain.
async fn serve_operators(
    builder: &NodeBuilder,
    gate: &GateHandle,
    routes: RoutesHandle,
    spread: &SpreadHandle,
) -> Result<watch::Receiver<bool>, NodeError> {
    let socket = bind("operators", builder.settings.listen.operators).await?;
    let (queries_tx, queries) = mpsc::channel(QUERY_QUEUE_CAPACITY);
    let (stop, stopping) = watch::channel(false);
    let handler = QueryHandler::new(QueryHandlerSetup {
        settings: builder.settings.clone(),
        incarnation: builder.incarnation,
        gate: gate.clone(),
        routes: routes.clone(),
        spread: spread.clone(),
        recorder: builder.recorder.clone(),
        metrics: builder.metrics.clone(),
        published: builder.published.clone(),
        stop,
        queries,
    });
    tokio::spawn(handler.run());
    let capacity = builder.settings.once.capacity as usize;
    tokio::spawn(update_gauges(
        gate.clone(),
        routes,
        builder.metrics.clone(),
        capacity,
    ));
    tokio::spawn(operators::serve(
        socket,
        queries_tx,
        builder.metrics.clone(),
    ));
    Ok(stopping)
}

/// Closes the peer connections after the last answers have been delivered or a timeout has passed.
async fn close_peers(peers: PeerTransport) {
    let _ = timeout(FINAL_ANSWER_TIMEOUT, streams_finished(&peers.streams)).await;
    peers.endpoint.close(quinn::VarInt::from_u32(0), b"stopped");
    let _ = timeout(CLOSE_TIMEOUT, peers.endpoint.wait_idle()).await;
}

/// Waits until no stream is being served. Streams that arrive in the meantime are answered with refusals.
async fn streams_finished(streams: &Semaphore) {
    while streams.available_permits() < MAX_PEER_STREAMS {
        tokio::time::sleep(STREAM_POLL_INTERVAL).await;
    }
}

async fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| NodeError::Bind {
        listener,
        address,
        source,
    })
}

/// Time allowed for delivering the last answers to peers once no call is in flight.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time allowed for peers to acknowledge that their connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a stopping node checks for open streams.
const STREAM_POLL_INTERVAL: Duration = Duration::from_millis(5);
