//! Accepts connections from callers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use coltsfootport_core::mesh::CallerLimits;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::connection::serve_connection;
use super::registry::ConnectionRegistry;
use crate::mesh::entry::Entry;

/// Configuration and shared state of the caller-facing server.
#[derive(Clone)]
pub struct CallersConfig {
    /// Processes the requests.
    pub entry: Entry,
    /// Size and time limits of the active configuration.
    pub limits: watch::Receiver<CallerLimits>,
    /// Bound on the queue of pending responses per connection; reading pauses while it is full.
    pub pipelined: usize,
    /// Becomes `true` when the grace period of a stopping node is nearly over.
    pub grace_over: watch::Receiver<bool>,
    /// Becomes `true` when the node begins to shut down.
    pub stopping: watch::Receiver<bool>,
    /// Open requests; see `OpenRequestGuard`.
    pub open_requests: Arc<AtomicUsize>,
    /// All open connections.
    pub connections: ConnectionRegistry,
}

/// Delay after `accept` fails, for example for lack of file descriptors, to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers until the grace period of a stopping node is nearly over. Later requests are never read, so callers
/// can safely resend them.
pub async fn listen(listener: TcpListener, cfg: CallersConfig) {
    let mut grace_over = cfg.grace_over.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = grace_over.wait_for(|is_over| *is_over) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, cfg.clone()));
            }
            Err(e) => {
                cfg.entry.journal.accept_failed("callers", &e);
                cfg.connections.make_room();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
