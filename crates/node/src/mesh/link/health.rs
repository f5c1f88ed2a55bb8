//! Whether a node that has requests of this one still answers.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

/// One process of a node, as the other end of a connection has seen it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Drawn at its start.
    pub boot: u64,
    /// When it was connected to, by the clock of this node.
    pub connected_at: Instant,
}

/// What is known of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Whether it has answered nothing for so long that its machine is taken to be cut off, without power or paused.
    pub silent: bool,
    /// The process that was connected to last; `None` before the first connection.
    pub incarnation: Option<Incarnation>,
}

impl Health {
    /// Whether a process has ended, since another one of the node was connected to after it.
    pub fn has_replaced(&self, earlier: &Incarnation) -> bool {
        self.incarnation.is_some_and(|known| {
            known.boot != earlier.boot && known.connected_at > earlier.connected_at
        })
    }
}

/// A node that has requests of this one.
#[derive(Debug)]
pub struct Peer {
    began: Instant,
    in_flight: AtomicU32,
    /// When something last came from it, in milliseconds since `began`.
    heard_ms: AtomicU64,
    /// When a request was last on its way to it, in milliseconds since `began`.
    used_ms: AtomicU64,
    health: watch::Sender<Health>,
}

impl Peer {
    /// A node of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            in_flight: AtomicU32::new(0),
            heard_ms: AtomicU64::new(0),
            used_ms: AtomicU64::new(0),
            health: watch::Sender::new(Health::default()),
        }
    }

    /// Follows what is known of it.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.health.subscribe()
    }

    /// Something has come from it.
    pub fn heard(&self, now: Instant) {
        self.heard_ms
            .store(self.since_begin(now), Ordering::Relaxed);
    }

    /// It has said hello on a new connection.
    pub fn greeted(&self, host: Incarnation, now: Instant) {
        self.heard(now);
        self.health.send_if_modified(|health| {
            let is_newest = match health.incarnation {
                Some(known) => known.connected_at < host.connected_at,
                None => true,
            };
            let is_other = health.incarnation.map(|known| known.boot) != Some(host.boot);
            let was_silent = std::mem::replace(&mut health.silent, false);
            if is_newest {
                health.incarnation = Some(host);
            }
            was_silent || (is_newest && is_other)
        });
    }

    /// It has not answered.
    pub fn unanswered(&self) {
        self.health
            .send_if_modified(|health| !std::mem::replace(&mut health.silent, true));
    }

    /// Whether a process of it has ended; see [`Health::has_replaced`].
    pub fn has_replaced(&self, earlier: &Incarnation) -> bool {
        self.health.borrow().has_replaced(earlier)
    }

    /// Whether it is taken to be silent.
    pub fn is_silent(&self) -> bool {
        self.health.borrow().silent
    }

    /// Whether it has requests of this node.
    pub fn has_requests(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Time since something came from it or, if that is later, since a request went there when it had none.
    pub fn quiet_for(&self, now: Instant) -> Duration {
        let last = self.heard_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.since_begin(now).saturating_sub(last))
    }

    /// Time since a request was on its way to it.
    pub fn unused_for(&self, now: Instant) -> Duration {
        let last = self.used_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.since_begin(now).saturating_sub(last))
    }

    /// Counts a request as on its way for as long as the result lives.
    pub fn count(&self, now: Instant) -> InFlight<'_> {
        let now_ms = self.since_begin(now);
        self.used_ms.store(now_ms, Ordering::Relaxed);
        if self.in_flight.fetch_add(1, Ordering::Relaxed) == 0 {
            // Its silence while it had nothing to say counts for nothing.
            self.heard_ms.fetch_max(now_ms, Ordering::Relaxed);
        }
        InFlight(self)
    }

    fn since_begin(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.began);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A request on its way to a node.
#[derive(Debug)]
pub struct InFlight<'p>(&'p Peer);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
