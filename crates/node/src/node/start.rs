//! Starts the parts of a node, runs it until it is stopped, and ends it.

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
use crate::operators::{self, QUERY_QUEUE};
use crate::peers::TlsError;
use crate::routes::RoutesHandle;
use crate::spread::{Published, SpreadHandle};

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
        // Without its gate a node can decide nothing; ending is the one safe thing.
        _ = gate.task => {}
    }
    // Requests that this node still carries to other hosts are answered before it ends.
    let _ = timeout(builder.settings.shutdown.drain, callers).await;
    close_peers(peers).await;
    Ok(())
}

/// Opens the listeners of callers and of the target; the task of the first ends when its last connection has.
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
    // Calls of the target have places of their own: were all taken by callers, none of these could ever end.
    let for_target = EntryService {
        places: builder.call_permits(),
        ..entry.clone()
    };
    tokio::spawn(
        egress.run(move |req, connection| for_target.clone().serve_target(req, connection)),
    );
    Ok(tokio::spawn(callers.run(move |req, connection| {
        entry.clone().serve_caller(req, connection)
    })))
}

/// Opens the listener of operators; what is returned turns true when one of them asks the node to drain.
async fn serve_operators(
    builder: &NodeBuilder,
    gate: &GateHandle,
    routes: RoutesHandle,
    spread: &SpreadHandle,
) -> Result<watch::Receiver<bool>, NodeError> {
    let socket = bind("operators", builder.settings.listen.operators).await?;
    let (queries_tx, queries) = mpsc::channel(QUERY_QUEUE);
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

/// Closes the connections to peers once the last answers have reached them.
async fn close_peers(peers: PeerTransport) {
    let _ = timeout(FINAL_ANSWER_TIMEOUT, streams_finished(&peers.streams)).await;
    peers.endpoint.close(quinn::VarInt::from_u32(0), b"stopped");
    let _ = timeout(CLOSE_TIMEOUT, peers.endpoint.wait_idle()).await;
}

/// Waits until no stream is served; streams that come meanwhile are still answered, by refusals.
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

/// How long the last answers to peers may take once nothing is in flight.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long peers are given to take in that connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two looks at the streams of a node that ends.
const STREAM_POLL_INTERVAL: Duration = Duration::from_millis(5);
