//! Liveness of peers, as seen by this node.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

/// Identifies a process of a peer, as seen on a connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Random number drawn when the process starts.
    pub boot: u64,
    /// When the connection was opened, by the clock of this node.
    pub connected_at: Instant,
}

/// Health of a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Whether the peer has not responded for so long that its machine is considered disconnected, powered off or
    /// paused.
    pub silent: bool,
    /// The process of the newest connection; `None` before the first one.
    pub incarnation: Option<Incarnation>,
}

impl Health {
    /// Whether the process `earlier` has been replaced: a newer connection reached another process of the peer.
    pub fn has_replaced(&self, earlier: &Incarnation) -> bool {
        self.incarnation.is_some_and(|known| {
            known.boot != earlier.boot && known.connected_at > earlier.connected_at
        })
    }
}

/// A node to which this one sends requests.
#[derive(Debug)]
pub struct Peer {
    created: Instant,
    in_flight: AtomicU32,
    /// Time of the last message from the peer, in milliseconds since `created`.
    last_activity_ms: AtomicU64,
    /// Time at which the last request was sent to the peer, in milliseconds since `created`.
    last_request_ms: AtomicU64,
    health: watch::Sender<Health>,
}

impl Peer {
    /// Creates a peer without any history.
    pub fn new(now: Instant) -> Self {
        Self {
            created: now,
            in_flight: AtomicU32::new(0),
            last_activity_ms: AtomicU64::new(0),
            last_request_ms: AtomicU64::new(0),
            health: watch::Sender::new(Health::default()),
        }
    }

    /// Subscribes to changes of the peer's health.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.health.subscribe()
    }

    /// Records a message from the peer.
    pub fn record_activity(&self, now: Instant) {
        self.last_activity_ms
            .store(self.millis_since_creation(now), Ordering::Relaxed);
    }

    /// Records the hello frame of a new connection.
    pub fn record_hello(&self, host: Incarnation, now: Instant) {
        self.record_activity(now);
        self.health.send_if_modified(|health| {
            let is_newest = match health.incarnation {
                Some(known) => known.connected_at < host.connected_at,
                None => true,
            };
            let is_other_process = health.incarnation.map(|known| known.boot) != Some(host.boot);
            let was_silent = std::mem::replace(&mut health.silent, false);
            if is_newest {
                health.incarnation = Some(host);
            }
            was_silent || (is_newest && is_other_process)
        });
    }

    /// Marks the peer as silent after a failed probe.
    pub fn mark_silent(&self) {
        self.health
            .send_if_modified(|health| !std::mem::replace(&mut health.silent, true));
    }

    /// Whether a process of the peer has been replaced; see [`Health::has_replaced`].
    pub fn has_replaced(&self, earlier: &Incarnation) -> bool {
        self.health.borrow().has_replaced(earlier)
    }

    /// Whether the peer is considered silent.
    pub fn is_silent(&self) -> bool {
        self.health.borrow().silent
    }

    /// Whether requests of this node are in flight to the peer.
    pub fn has_requests_in_flight(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Time since the last message from the peer or, if later, since a request was sent while none was in flight.
    pub fn time_since_activity(&self, now: Instant) -> Duration {
        let last = self.last_activity_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.millis_since_creation(now).saturating_sub(last))
    }

    /// Time since the last request was sent to the peer.
    pub fn time_since_request(&self, now: Instant) -> Duration {
        let last = self.last_request_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.millis_since_creation(now).saturating_sub(last))
    }

    /// Counts a request as in flight for as long as the returned guard lives.
    pub fn track_request(&self, now: Instant) -> InFlightGuard<'_> {
        let now_ms = self.millis_since_creation(now);
        self.last_request_ms.store(now_ms, Ordering::Relaxed);
        if self.in_flight.fetch_add(1, Ordering::Relaxed) == 0 {
            // An idle peer is not expected to send anything, so that the time before this request does not count.
            self.last_activity_ms.fetch_max(now_ms, Ordering::Relaxed);
        }
        InFlightGuard(self)
    }

    fn millis_since_creation(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.created);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Guard that counts a request to a peer as in flight.
#[derive(Debug)]
pub struct InFlightGuard<'p>(&'p Peer);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
