//! Connections to other nodes that wait for their next request.

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

/// Longest time until a node has accepted a new connection and said hello: one that is gone does not hold a request up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which sent bytes may stay without acknowledgement by the other machine. Lost packets are repeated several times
/// within it; what is then still on its way is lost with its connection. Bodies in pieces have longer, see `pieces`.
pub const UNACKNOWLEDGED: Duration = Duration::from_millis(1000);

/// Time for which a connection is kept without a request. The other end keeps it longer, so that it never closes one on
/// which a request is on its way.
pub const KEPT: Duration = Duration::from_secs(10);

/// Time without a request for which a silent node is remembered: it gets no requests, and by how many are silent a node tells
/// whether it is cut off itself.
const SILENT_KEPT: Duration = Duration::from_secs(600);

/// Connections kept for one node at most: more than it has slots are only needed while a queue stands before it.
const MOST_KEPT: usize = 32;

/// Connections to other nodes and what is known of these; cheap to clone.
#[derive(Clone)]
pub struct PeerPool {
    clock: SharedClock,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    peers: Map<SocketAddr, Arc<Peer>>,
    idle: Map<SocketAddr, Vec<Idle>>,
}

struct Idle {
    link: Link,
    since: Instant,
}

/// A connection that this node has opened, and the process that has accepted it.
#[derive(Debug)]
pub struct Link {
    /// The connection.
    pub conn: PeerConn,
    /// The process at its other end.
    pub host: Incarnation,
}

impl PeerPool {
    /// A hub without connections.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// The time by which connections are kept.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// What is known of a node; asked for the first time, it is looked at from now on.
    pub fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let now = self.now();
        let mut state = self.state();
        let peer = state.peers.entry(address);
        Arc::clone(peer.or_insert_with(|| Arc::new(Peer::new(now))))
    }

    /// All nodes that are looked at.
    pub fn peers(&self) -> Vec<(SocketAddr, Arc<Peer>)> {
        let state = self.state();
        let peers = state.peers.iter();
        peers
            .map(|(address, peer)| (*address, Arc::clone(peer)))
            .collect()
    }

    /// Share of the nodes that are looked at which are silent, from 0 to 1.
    pub fn silent_share(&self) -> f64 {
        let state = self.state();
        let silent = state.peers.values().filter(|peer| peer.is_silent());
        silent.count() as f64 / state.peers.len().max(1) as f64
    }

    /// A kept connection, the one used last.
    pub fn take(&self, address: SocketAddr) -> Option<Link> {
        let now = self.now();
        let mut state = self.state();
        let State { peers, idle } = &mut *state;
        let peer = peers.get(&address);
        let idle = idle.get_mut(&address)?;
        while let Some(Idle { link, since }) = idle.pop() {
            let is_fresh = now.saturating_duration_since(since) < KEPT;
            // A machine that lost power has closed nothing.
            let is_replaced = peer.is_some_and(|peer| peer.has_replaced(&link.host));
            // Bytes that nobody asked for, or an end: its node has stopped.
            if is_fresh && !is_replaced && link.conn.is_reusable() {
                return Some(link);
            }
        }
        None
    }

    /// A new connection to a node that has said hello on it.
    ///
    /// # Errors
    ///
    /// The node does not accept it, or says nothing; nothing was sent.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Link> {
        let link = timeout(CONNECT_TIMEOUT, self.open(address)).await??;
        self.peer(address).record_hello(link.host, self.now());
        Ok(link)
    }

    async fn open(&self, address: SocketAddr) -> io::Result<Link> {
        let stream = TcpStream::connect(address).await?;
        let connected_at = self.now();
        prepare(&stream)?;
        let mut conn = PeerConn::new(stream);
        let hello: HelloFrame = conn.read_head(MAX_HEAD).await.map_err(io::Error::other)?;
        let host = Incarnation {
            boot: hello.boot,
            connected_at,
        };
        Ok(Link { conn, host })
    }

    /// Keeps a connection whose reply was read whole.
    pub fn put(&self, address: SocketAddr, mut link: Link) {
        link.conn.release_buffer();
        let since = self.now();
        let mut state = self.state();
        let idle = state.idle.entry(address).or_default();
        if idle.len() < MOST_KEPT {
            idle.push(Idle { link, since });
        }
    }

    /// Forgets nodes and closes connections that have not been used for long.
    pub fn prune(&self) {
        let now = self.now();
        let mut state = self.state();
        state.idle.retain(|_, idle| {
            idle.retain(|kept| now.saturating_duration_since(kept.since) < KEPT);
            !idle.is_empty()
        });
        let kept = |peer: &Peer| if peer.is_silent() { SILENT_KEPT } else { KEPT };
        let is_used = |peer: &Peer| {
            peer.has_requests_in_flight() || peer.time_since_request(now) < kept(peer)
        };
        state.peers.retain(|_, peer| is_used(peer));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets what both ends of a connection need.
///
/// # Errors
///
/// The connection is lost already.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
