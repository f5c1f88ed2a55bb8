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

use super::base::{Base, MOST_STREAMS, Peers, SpreadChannels};
use super::desk::{Desk, DeskSetup};
use super::life::Life;
use super::meter::meter;
use crate::config::Settings;
use crate::entry::EntryService;
use crate::gate::GateHandle;
use crate::http::{Listener, ListenerStage};
use crate::operators::{self, QUERY_QUEUE_CAPACITY};
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
    let base = Base::new(settings, warnings, published, log)?;
    let (words_tx, words) = mpsc::unbounded_channel();
    let (spread_tx, spread_rx) = mpsc::unbounded_channel();
    let spread = SpreadHandle::new(spread_tx.clone());
    let gate = base.gate();
    let routes = base.routes(words_tx);
    let host = base.host(&gate.handle);
    let peers = base.peers(&host, &gate.handle, &routes, &spread)?;
    let channels = SpreadChannels {
        published: published_tx,
        words,
        tx: spread_tx,
        rx: spread_rx,
    };
    base.spread(channels, &peers.hub);
    let entry = base.entry(&host, &gate.handle, &routes, &peers.hub)?;
    let (listeners, stage) = watch::channel(ListenerStage::Open);
    let callers = serve_http(&base, entry, stage).await?;
    let stopping = serve_operators(&base, &gate.handle, routes, &spread).await?;
    info!(base.log, "node started"; "incarnation" => base.incarnation.to_string());
    let life = Life {
        gate: gate.handle,
        host,
        hub: peers.hub.clone(),
        spread,
        recorder: base.recorder.clone(),
        published: base.published.clone(),
        stopping,
        listeners,
        events: gate.life,
        log: base.log.clone(),
    };
    tokio::select! {
        () = life.run() => {}
        // Without its gate a node can decide nothing; ending is the one safe thing.
        _ = gate.task => {}
    }
    // Requests that this node still carries to other hosts are answered before it ends.
    let _ = timeout(base.settings.shutdown.drain, callers).await;
    end(peers).await;
    Ok(())
}

/// Opens the listeners of callers and of the target; the task of the first ends when its last connection has.
async fn serve_http(
    base: &Base,
    entry: EntryService,
    stage: watch::Receiver<ListenerStage>,
) -> Result<JoinHandle<()>, NodeError> {
    let listen = &base.settings.listen;
    let limits = base.listener_limits();
    let callers = Listener::new(
        bind("callers", listen.callers).await?,
        limits,
        stage.clone(),
    );
    let egress = Listener::new(bind("egress", listen.egress).await?, limits, stage);
    // Calls of the target have places of their own: were all taken by callers, none of these could ever end.
    let for_target = EntryService {
        call_slots: base.places(),
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
    base: &Base,
    gate: &GateHandle,
    routes: RoutesHandle,
    spread: &SpreadHandle,
) -> Result<watch::Receiver<bool>, NodeError> {
    let socket = bind("operators", base.settings.listen.operators).await?;
    let (queries_tx, queries) = mpsc::channel(QUERY_QUEUE_CAPACITY);
    let (stop, stopping) = watch::channel(false);
    let desk = Desk::new(DeskSetup {
        settings: base.settings.clone(),
        incarnation: base.incarnation,
        gate: gate.clone(),
        routes: routes.clone(),
        spread: spread.clone(),
        recorder: base.recorder.clone(),
        metrics: base.metrics.clone(),
        published: base.published.clone(),
        stop,
        queries,
    });
    tokio::spawn(desk.run());
    let capacity = base.settings.once.capacity as usize;
    tokio::spawn(meter(gate.clone(), routes, base.metrics.clone(), capacity));
    tokio::spawn(operators::serve(socket, queries_tx, base.metrics.clone()));
    Ok(stopping)
}

/// Closes the connections to peers once the last answers have reached them.
async fn end(peers: Peers) {
    let _ = timeout(LAST_ANSWERS, all_free(&peers.streams)).await;
    peers.endpoint.close(quinn::VarInt::from_u32(0), b"stopped");
    let _ = timeout(CLOSE_PATIENCE, peers.endpoint.wait_idle()).await;
}

/// Waits until no stream is served; streams that come meanwhile are still answered, by refusals.
async fn all_free(streams: &Semaphore) {
    while streams.available_permits() < MOST_STREAMS {
        tokio::time::sleep(LOOK_INTERVAL).await;
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
const LAST_ANSWERS: Duration = Duration::from_secs(5);

/// How long peers are given to take in that connections are closed.
const CLOSE_PATIENCE: Duration = Duration::from_millis(500);

/// Time between two looks at the streams of a node that ends.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
