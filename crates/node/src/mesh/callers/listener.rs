//! Accepts connections from callers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use coltsfootport_core::mesh::CallerLimits;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::yield_now;

use super::connection::serve_connection;
use crate::mesh::connection_registry::{ACCEPT_RETRY_DELAY, ConnectionRegistry};
use crate::mesh::entry::Entry;
use crate::mesh::held_bytes::ByteLimiter;
use crate::mesh::shutdown::ShutdownWatch;

/// Configuration and shared state of the caller-facing server.
#[derive(Clone)]
pub struct CallersConfig {
    /// Processes the requests.
    pub entry: Entry,
    /// Size and time limits of the active configuration.
    pub limits: watch::Receiver<CallerLimits>,
    /// Bound on the queue of pending responses per connection; reading pauses while it is full.
    pub pipelined: usize,
    /// Progress of the node's shutdown.
    pub shutdown: ShutdownWatch,
    /// Open requests; see `OpenRequestGuard`.
    pub open_requests: Arc<AtomicUsize>,
    /// All open connections.
    pub connections: ConnectionRegistry,
    /// Bytes held for them.
    pub bytes: ByteLimiter,
    /// Bytes that their receive buffers share.
    pub receive_buffers: usize,
}

/// Accepts callers until the grace period of a stopping node is nearly over. Later requests are never read, so callers
/// can safely resend them.
pub async fn listen(listener: TcpListener, cfg: CallersConfig) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cfg.shutdown.grace_over() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, cfg.clone()));
                if cfg.connections.is_crowded() {
                    // Lets the connections that this one replaces close before the next is accepted.
                    yield_now().await;
                }
            }
            Err(e) => {
                cfg.entry.journal.accept_failed("callers", &e);
                cfg.connections.make_room();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
