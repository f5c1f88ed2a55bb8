//! Tells the end of the target's process from the end of one connection.

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

/// Longest time for a connection to the own machine that only shows whether somebody listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A process that ends closes its connections and its listener one after the other; this is between two looks.
const SECOND_LOOK: Duration = Duration::from_millis(20);

/// Watches the address of one target; cheap to clone.
#[derive(Clone)]
pub struct CrashWatch {
    address: SocketAddr,
    clock: SharedClock,
    connected: Arc<AtomicU64>,
    /// Held during a look, so that all requests that a crash has ended share one.
    last: Arc<Mutex<Option<Look>>>,
}

#[derive(Clone, Copy)]
struct Look {
    at: Instant,
    /// Connections that the target had accepted by then.
    connected: u64,
    crash: Option<CrashId>,
}

/// What a look at the target's address has shown.
enum Listener {
    /// The target accepts connections; this is one.
    Accepts(TargetConn),
    /// Nobody listens.
    Gone,
    /// Neither can be told.
    Unclear,
}

/// What became of a target whose connection was lost.
pub struct Outcome {
    /// The end of its process; `None` where it goes on.
    pub crash: Option<CrashId>,
    /// A connection that the look has opened and nobody uses.
    pub spare: Option<TargetConn>,
}

impl CrashWatch {
    /// Watches a target that is taken to run.
    pub fn new(address: SocketAddr, clock: SharedClock) -> Self {
        Self {
            address,
            clock,
            connected: Arc::default(),
            last: Arc::default(),
        }
    }

    /// The target has accepted a connection, so that its next end is another one.
    pub fn accepted(&self) {
        self.connected.fetch_add(1, Ordering::Relaxed);
    }

    /// Looks whether the target's process has ended, after a connection was lost at `lost_at`.
    pub async fn look(&self, lost_at: Instant) -> Outcome {
        let mut last = self.last.lock().await;
        if let Some(look) = last.filter(|look| look.at >= lost_at) {
            return Outcome {
                crash: look.crash,
                spare: None,
            };
        }
        let listener = self.listener().await;
        let connected = self.connected.load(Ordering::Relaxed);
        let earlier = last.filter(|look| look.connected == connected);
        let earlier = earlier.and_then(|look| look.crash);
        let (crash, spare) = match listener {
            Listener::Accepts(conn) => (None, Some(conn)),
            Listener::Gone => (
                Some(earlier.unwrap_or_else(|| CrashId(rand::random()))),
                None,
            ),
            Listener::Unclear => (None, None),
        };
        *last = Some(Look {
            at: self.clock.now(),
            connected,
            crash,
        });
        Outcome { crash, spare }
    }

    async fn listener(&self) -> Listener {
        match self.connect().await {
            Listener::Accepts(conn) => {
                sleep(SECOND_LOOK).await;
                match conn.is_quiet() {
                    true => Listener::Accepts(conn),
                    false => self.connect().await,
                }
            }
            other => other,
        }
    }

    async fn connect(&self) -> Listener {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) if stream.set_nodelay(true).is_ok() => {
                self.accepted();
                Listener::Accepts(TargetConn::new(stream))
            }
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Listener::Gone,
            Ok(_) | Err(_) => Listener::Unclear,
        }
    }
}
