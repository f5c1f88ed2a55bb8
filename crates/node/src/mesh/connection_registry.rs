//! Registry of the connections of a listener, which closes idle ones when there are too many.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootport_core::mesh::{ConnectionKey, ConnectionLimit, ConnectionLimitConfig};
use prometheus::IntGauge;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

/// Delay after `accept` fails, for example for lack of file descriptors, to avoid a busy loop.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Idle connections that are closed after `accept` has failed.
const EVICTED_AFTER_FAILURE: usize = 16;

/// All connections of a listener; cheap to clone.
#[derive(Clone, Debug)]
pub struct ConnectionRegistry {
    state: Arc<Mutex<State>>,
    open: IntGauge,
}

#[derive(Debug)]
struct State {
    connections: ConnectionLimit,
    evictions: SecondaryMap<ConnectionKey, Arc<Notify>>,
}

/// A connection in the registry; dropping it removes the connection.
#[derive(Debug)]
pub struct Registration {
    registry: ConnectionRegistry,
    conn: ConnectionKey,
    eviction: Arc<Notify>,
}

impl ConnectionRegistry {
    /// Creates an empty registry; `open` follows the number of connections.
    pub fn new(cfg: ConnectionLimitConfig, open: IntGauge) -> Self {
        let state = State {
            connections: ConnectionLimit::new(cfg),
            evictions: SecondaryMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            open,
        }
    }

    /// Adds a connection, and evicts idle ones if there are too many.
    pub fn register(&self) -> Registration {
        let eviction = Arc::new(Notify::new());
        let mut state = self.state();
        let conn = state.connections.open();
        state.evictions.insert(conn, Arc::clone(&eviction));
        state.evict_excess();
        self.open.inc();
        drop(state);
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

    /// Whether there are too many connections, and none of them is idle.
    pub fn has_excess(&self) -> bool {
        self.state().connections.has_excess()
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.state().connections.len()
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

    fn notify(&self, conn: ConnectionKey) {
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
