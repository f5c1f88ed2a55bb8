//! Pool of idle connections to the target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coltsfootport_core::quarantine::CrashId;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::TargetConn;
use super::crash_detector::CrashDetector;
use crate::clock::SharedClock;

/// Timeout of a new connection; the target runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Receive buffer of a connection in bytes. The system would otherwise grow it to megabytes while a body is streamed.
const RECEIVE_BUFFER: usize = 64 * 1024;

/// Idle timeout of a connection if the target announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the target's announced timeout at which a connection is no longer used. A request that is sent while
/// the target closes the connection is lost, and one that may run at most once can't be retried.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Fraction of the idle timeout within which a connection may carry a request that may run at most once.
const AT_MOST_ONCE_IDLE_FRACTION: f64 = 0.5;

/// Pool of connections to one target; cheap to clone.
#[derive(Clone)]
pub struct TargetPool {
    address: SocketAddr,
    clock: SharedClock,
    crash_detector: CrashDetector,
    idle: Arc<Mutex<Vec<IdleConn>>>,
}

struct IdleConn {
    conn: TargetConn,
    since: Instant,
    idle_timeout: Duration,
}

impl TargetPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, clock: SharedClock) -> Self {
        Self {
            address,
            crash_detector: CrashDetector::new(address, clock.clone()),
            clock,
            idle: Arc::default(),
        }
    }

    /// Takes the most recently used idle connection; `at_most_once` is set for a request that may run at most once.
    pub fn take(&self, at_most_once: bool) -> Option<TargetConn> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|kept| now.saturating_duration_since(kept.since) < kept.idle_timeout);
        while let Some(kept) = idle.pop() {
            let age = now.saturating_duration_since(kept.since);
            if at_most_once && age > kept.idle_timeout.mul_f64(AT_MOST_ONCE_IDLE_FRACTION) {
                // All remaining connections have been idle for longer.
                idle.push(kept);
                return None;
            }
            // Skips connections with unsolicited data or a closed stream: the data would be taken for the response to
            // the next request.
            if kept.conn.is_quiet() {
                return Some(kept.conn);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the target does not accept the connection; nothing was sent.
    pub async fn connect(&self) -> std::io::Result<TargetConn> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER)?;
        self.crash_detector.record_accepted();
        Ok(TargetConn::new(stream))
    }

    /// Returns the crash of the target's process that ended a connection at `lost_at`; `None` if the process is still
    /// running.
    pub async fn detect_crash(&self, lost_at: Instant) -> Option<CrashId> {
        let check = self.crash_detector.check(lost_at).await;
        if let Some(conn) = check.unused_conn {
            self.put(conn, None);
        }
        check.crash
    }

    /// Returns a connection whose response was read completely; `idle_timeout` is the keep-alive time announced by the
    /// target.
    pub fn put(&self, mut conn: TargetConn, idle_timeout: Option<Duration>) {
        let idle_timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            idle_timeout.saturating_sub(IDLE_MARGIN)
        });
        if idle_timeout.is_zero() {
            return;
        }
        let since = self.clock.now();
        // The buffer is empty; its allocation would be held while the connection is idle.
        conn.buf = BytesMut::new();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(IdleConn {
            conn,
            since,
            idle_timeout,
        });
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Closes connections whose idle timeout has passed.
    pub fn prune(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|kept| now.saturating_duration_since(kept.since) < kept.idle_timeout);
    }
}
