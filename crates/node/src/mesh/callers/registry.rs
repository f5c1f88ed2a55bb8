//! Registry of the connections of callers, which closes idle ones when there are too many.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coltsfootport_core::mesh::{CallerConnection, CallerConnections, CallerConnectionsConfig};
use prometheus::IntGauge;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::mesh::held_bytes::{Account, ByteLimiter};

/// Idle connections that are closed after `accept` has failed.
const EVICTED_AFTER_FAILURE: usize = 16;

/// Smallest receive buffer of a connection, in bytes; enough for the heads of most requests.
const MIN_RECEIVE_BUFFER: usize = 4 * 1024;

/// Largest receive buffer of a connection, in bytes.
const MAX_RECEIVE_BUFFER: usize = 64 * 1024;

/// All connections of callers; cheap to clone.
#[derive(Clone, Debug)]
pub struct ConnectionRegistry {
    state: Arc<Mutex<State>>,
    bytes: ByteLimiter,
    /// Bytes that the receive buffers of the connections share.
    receive_buffers: usize,
    open: IntGauge,
}

#[derive(Debug)]
struct State {
    connections: CallerConnections,
    evictions: SecondaryMap<CallerConnection, Arc<Notify>>,
}

/// A connection in the registry; dropping it removes the connection.
#[derive(Debug)]
pub struct Registration {
    registry: ConnectionRegistry,
    conn: CallerConnection,
    eviction: Arc<Notify>,
}

impl ConnectionRegistry {
    /// Creates an empty registry of connections that are held in `bytes`; `open` follows their number.
    /// The receive buffers of new connections are divided from `receive_buffers` bytes.
    pub fn new(
        cfg: CallerConnectionsConfig,
        bytes: ByteLimiter,
        receive_buffers: usize,
        open: IntGauge,
    ) -> Self {
        let state = State {
            connections: CallerConnections::new(cfg),
            evictions: SecondaryMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            bytes,
            receive_buffers,
            open,
        }
    }

    /// Opens the account of a connection.
    pub fn open_account(&self) -> Account {
        self.bytes.open()
    }

    /// Adds a connection, and evicts others if there are too many: idle ones, or else the one that holds the most.
    pub fn register(&self) -> Registration {
        let eviction = Arc::new(Notify::new());
        let mut state = self.state();
        let conn = state.connections.open();
        state.evictions.insert(conn, Arc::clone(&eviction));
        state.evict_excess();
        let has_excess = state.connections.has_excess();
        drop(state);
        if has_excess {
            self.bytes.evict_greediest();
        }
        self.open.inc();
        Registration {
            registry: self.clone(),
            conn,
            eviction,
        }
    }

    /// Whether there are so many connections that they should be closed after their next response.
    pub fn is_crowded(&self) -> bool {
        self.state().connections.is_crowded()
    }

    /// Receive buffer of a new connection, in bytes. Together, those of all connections stay within a share of the memory.
    pub fn receive_buffer(&self) -> usize {
        let connections = self.state().connections.len().max(1);
        let part = self.receive_buffers / connections;
        part.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER)
    }

    /// Evicts idle connections because the process has no descriptors left.
    pub fn make_room(&self) {
        let mut state = self.state();
        for _ in 0..EVICTED_AFTER_FAILURE {
            match state.connections.evict_longest_idle() {
                Some(conn) => state.notify(conn),
                None => return,
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn evict_excess(&mut self) {
        while let Some(excess) = self.connections.evict_excess() {
            self.notify(excess);
        }
    }

    fn notify(&self, conn: CallerConnection) {
        if let Some(eviction) = self.evictions.get(conn) {
            eviction.notify_one();
        }
    }
}

impl Registration {
    /// Records that a request was started.
    pub fn set_busy(&self) {
        self.registry.state().connections.set_busy(self.conn);
    }

    /// Records that all requests that were started have been answered, or that the head of another one was read.
    pub fn set_idle(&self) {
        self.registry.state().connections.set_idle(self.conn);
    }

    /// Evicts another connection in place of this one, if that is possible. Returns `false` if this one has to be closed.
    pub fn defer_eviction(&self) -> bool {
        let mut state = self.registry.state();
        let is_deferred = state.connections.defer_eviction(self.conn);
        state.evict_excess();
        is_deferred
    }

    /// Whether responses should close their connections to make room for others.
    pub fn is_crowded(&self) -> bool {
        self.registry.is_crowded()
    }

    /// Resolves when the connection should be closed because it has been idle for longer than others.
    pub async fn evicted(&self) {
        loop {
            self.eviction.notified().await;
            // A request may have been started since the notification.
            if self.registry.state().connections.is_evicted(self.conn) {
                return;
            }
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.registry.state();
        state.evictions.remove(self.conn);
        state.connections.close(self.conn);
        self.registry.open.dec();
    }
}
