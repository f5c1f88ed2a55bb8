//! Pool of idle connections to peers.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::conn::PeerConn;
use super::frames::{HelloFrame, MAX_HEAD};
use super::health::{Incarnation, Peer};
use crate::clock::SharedClock;

/// Timeout for opening a connection and receiving the hello frame, so that an unreachable peer does not delay a
/// request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// TCP user timeout: how long sent bytes may stay unacknowledged before the connection is dropped with the data in
/// transit. Long enough for several retransmissions of a lost packet. Streamed bodies use a longer one, see
/// `body_stream`.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Receive buffer of a connection in bytes. The system would otherwise grow it to megabytes while a body is streamed.
const RECEIVE_BUFFER: usize = 64 * 1024;

/// How long an idle connection is kept. The accepting node keeps it longer, so that it never closes a connection on
/// which a request is in transit.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a silent peer is remembered after the last request to it. It is sent no requests meanwhile, and a node
/// detects from the share of silent peers whether it is itself disconnected.
const SILENT_PEER_TTL: Duration = Duration::from_secs(600);

/// Maximum number of idle connections per peer. More connections than the peer has slots are only needed while requests
/// queue there.
const MAX_IDLE_PER_PEER: usize = 32;

/// Idle connections to peers and the health of these; cheap to clone.
#[derive(Clone)]
pub struct PeerPool {
    clock: SharedClock,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    peers: Map<SocketAddr, Arc<Peer>>,
    idle: Map<SocketAddr, Vec<IdleLink>>,
}

struct IdleLink {
    link: Link,
    since: Instant,
}

/// An outgoing connection and the process that accepted it.
#[derive(Debug)]
pub struct Link {
    /// The connection.
    pub conn: PeerConn,
    /// The process that accepted the connection.
    pub host: Incarnation,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Current time of the pool's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the peer with this address. An unknown peer is added and monitored from now on.
    pub fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let now = self.now();
        let mut state = self.state();
        let peer = state.peers.entry(address);
        Arc::clone(peer.or_insert_with(|| Arc::new(Peer::new(now))))
    }

    /// All monitored peers.
    pub fn peers(&self) -> Vec<(SocketAddr, Arc<Peer>)> {
        let state = self.state();
        let peers = state.peers.iter();
        peers
            .map(|(address, peer)| (*address, Arc::clone(peer)))
            .collect()
    }

    /// Share of the monitored peers that are silent, from 0 to 1.
    pub fn silent_share(&self) -> f64 {
        let state = self.state();
        let silent = state.peers.values().filter(|peer| peer.is_silent());
        silent.count() as f64 / state.peers.len().max(1) as f64
    }

    /// Takes the most recently used idle connection to a peer that is still reusable.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Link> {
        let now = self.now();
        let mut state = self.state();
        let State { peers, idle } = &mut *state;
        let peer = peers.get(&address);
        let idle = idle.get_mut(&address)?;
        while let Some(IdleLink { link, since }) = idle.pop() {
            let is_fresh = now.saturating_duration_since(since) < IDLE_TIMEOUT;
            // A machine that lost power has not closed its connections.
            let is_replaced = peer.is_some_and(|peer| peer.has_replaced(&link.host));
            // A connection with unexpected input is unusable, and one at end of file belongs to a stopped process.
            if is_fresh && !is_replaced && link.conn.is_reusable() {
                return Some(link);
            }
        }
        None
    }

    /// Opens a connection to a peer and reads its hello frame.
    ///
    /// # Errors
    ///
    /// The peer does not accept the connection or sends no hello frame in time. Nothing was sent.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Link> {
        let link = timeout(CONNECT_TIMEOUT, self.open(address)).await??;
        self.peer(address).record_hello(link.host, self.now());
        Ok(link)
    }

    async fn open(&self, address: SocketAddr) -> io::Result<Link> {
        let stream = TcpStream::connect(address).await?;
        let connected_at = self.now();
        configure_socket(&stream)?;
        let mut conn = PeerConn::new(stream);
        let hello: HelloFrame = conn.read_head(MAX_HEAD).await.map_err(io::Error::other)?;
        let host = Incarnation {
            boot: hello.boot,
            connected_at,
        };
        Ok(Link { conn, host })
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn put_idle(&self, address: SocketAddr, mut link: Link) {
        link.conn.release_buffer();
        let since = self.now();
        let mut state = self.state();
        let idle = state.idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_PEER {
            idle.push(IdleLink { link, since });
        }
    }

    /// Removes unused peers and closes expired idle connections.
    pub fn prune(&self) {
        let now = self.now();
        let mut state = self.state();
        state.idle.retain(|_, idle| {
            idle.retain(|link| now.saturating_duration_since(link.since) < IDLE_TIMEOUT);
            !idle.is_empty()
        });
        let ttl = |peer: &Peer| {
            if peer.is_silent() {
                SILENT_PEER_TTL
            } else {
                IDLE_TIMEOUT
            }
        };
        let is_used =
            |peer: &Peer| peer.has_requests_in_flight() || peer.time_since_request(now) < ttl(peer);
        state.peers.retain(|_, peer| is_used(peer));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets the socket options that both ends of a connection need.
///
/// # Errors
///
/// The connection is already lost.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
