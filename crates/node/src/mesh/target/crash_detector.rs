//! Distinguishes a crash of the target's process from the loss of a single connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use coltsfootport_core::quarantine::CrashId;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use super::TargetConn;
use crate::clock::SharedClock;

/// Timeout of a connection attempt on the local machine that only shows whether anything listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay between two probes. An exiting process closes its connections and its listener one after another.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

/// Detects crashes of the target at one address; cheap to clone.
#[derive(Clone)]
pub struct CrashDetector {
    address: SocketAddr,
    clock: SharedClock,
    accepted_count: Arc<AtomicU64>,
    /// Locked during a check, so that all requests ended by the same crash share one check.
    last: Arc<Mutex<Option<Check>>>,
}

#[derive(Clone, Copy)]
struct Check {
    at: Instant,
    /// Number of connections that the target had accepted by then.
    accepted_count: u64,
    crash: Option<CrashId>,
}

/// Result of probing the target's address.
enum ListenerState {
    /// The target accepts connections, such as this one.
    Accepting(TargetConn),
    /// Nothing listens.
    Closed,
    /// The probe was inconclusive.
    Unknown,
}

/// Result of a check after a connection was lost.
pub struct CrashCheck {
    /// The crash; `None` if the process is still running.
    pub crash: Option<CrashId>,
    /// Unused connection opened by the check.
    pub unused_conn: Option<TargetConn>,
}

impl CrashDetector {
    /// Creates a detector for a target that is assumed to be running.
    pub fn new(address: SocketAddr, clock: SharedClock) -> Self {
        Self {
            address,
            clock,
            accepted_count: Arc::default(),
            last: Arc::default(),
        }
    }

    /// Records that the target accepted a connection, so that its next crash counts as a new one.
    pub fn record_accepted(&self) {
        self.accepted_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Checks whether the target's process has ended, after a connection was lost at `lost_at`.
    pub async fn check(&self, lost_at: Instant) -> CrashCheck {
        let mut last = self.last.lock().await;
        if let Some(check) = last.filter(|check| check.at >= lost_at) {
            return CrashCheck {
                crash: check.crash,
                unused_conn: None,
            };
        }
        let listener = self.probe_listener().await;
        let accepted_count = self.accepted_count.load(Ordering::Relaxed);
        let earlier = last.filter(|check| check.accepted_count == accepted_count);
        let earlier = earlier.and_then(|check| check.crash);
        let (crash, unused_conn) = match listener {
            ListenerState::Accepting(conn) => (None, Some(conn)),
            ListenerState::Closed => (
                Some(earlier.unwrap_or_else(|| CrashId(rand::random()))),
                None,
            ),
            ListenerState::Unknown => (None, None),
        };
        *last = Some(Check {
            at: self.clock.now(),
            accepted_count,
            crash,
        });
        CrashCheck { crash, unused_conn }
    }

    async fn probe_listener(&self) -> ListenerState {
        match self.connect().await {
            ListenerState::Accepting(conn) => {
                sleep(RECHECK_DELAY).await;
                match conn.is_quiet() {
                    true => ListenerState::Accepting(conn),
                    false => self.connect().await,
                }
            }
            other => other,
        }
    }

    async fn connect(&self) -> ListenerState {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) if stream.set_nodelay(true).is_ok() => {
                self.record_accepted();
                ListenerState::Accepting(TargetConn::new(stream))
            }
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => ListenerState::Closed,
            Ok(_) | Err(_) => ListenerState::Unknown,
        }
    }
}
