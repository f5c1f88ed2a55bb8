//! Connections to the target that wait for their next request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coltsfootport_core::quarantine::CrashId;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::TargetConn;
use super::crash_watch::CrashWatch;
use crate::clock::SharedClock;

/// Longest time for a new connection; the target is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a connection is kept without a request where the target does not say.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Time before the target's own limit at which a connection is not used any more. A request that crosses the target's
/// close is lost; where it may run once only, nobody can send it again.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Share of the time to wait within which a connection may carry a request that may run once only.
const CAREFUL_SHARE: f64 = 0.5;

/// Connections to one target; cheap to clone.
#[derive(Clone)]
pub struct TargetPool {
    address: SocketAddr,
    clock: SharedClock,
    crashes: CrashWatch,
    idle: Arc<Mutex<Vec<Idle>>>,
}

struct Idle {
    conn: TargetConn,
    since: Instant,
    keep: Duration,
}

impl TargetPool {
    /// A pool without connections.
    pub fn new(address: SocketAddr, clock: SharedClock) -> Self {
        Self {
            address,
            crashes: CrashWatch::new(address, clock.clone()),
            clock,
            idle: Arc::default(),
        }
    }

    /// A kept connection, the one used last; `careful` for a request that may run once only.
    pub fn take(&self, careful: bool) -> Option<TargetConn> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|kept| now.saturating_duration_since(kept.since) < kept.keep);
        while let Some(kept) = idle.pop() {
            let age = now.saturating_duration_since(kept.since);
            if careful && age > kept.keep.mul_f64(CAREFUL_SHARE) {
                // All that are left are older.
                idle.push(kept);
                return None;
            }
            // Bytes that nobody asked for, or an end: whatever comes next on it would be taken for another answer.
            if kept.conn.is_quiet() {
                return Some(kept.conn);
            }
        }
        None
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// The target does not accept it; nothing was sent.
    pub async fn connect(&self) -> std::io::Result<TargetConn> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        self.crashes.accepted();
        Ok(TargetConn::new(stream))
    }

    /// The end of the target's process that has cost a connection at `lost_at`; `None` where the process goes on.
    pub async fn crash(&self, lost_at: Instant) -> Option<CrashId> {
        let outcome = self.crashes.look(lost_at).await;
        if let Some(conn) = outcome.spare {
            self.put(conn, None);
        }
        outcome.crash
    }

    /// Keeps a connection whose answer was read whole; `keep` is how long the target says it waits.
    pub fn put(&self, mut conn: TargetConn, keep: Option<Duration>) {
        let keep = keep.map_or(IDLE_DEFAULT, |keep| keep.saturating_sub(IDLE_MARGIN));
        if keep.is_zero() {
            return;
        }
        let since = self.clock.now();
        // It is empty; its room would be held for as long as the connection waits.
        conn.buf = BytesMut::new();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(Idle { conn, since, keep });
    }

    /// Closes connections that have waited too long.
    pub fn prune(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|kept| now.saturating_duration_since(kept.since) < kept.keep);
    }
}
