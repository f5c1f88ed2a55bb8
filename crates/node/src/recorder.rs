//! Recorder of timeline events of this node.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use coltsfootport_core::id::{NodeName, RequestId};
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::timeline::{Event, Filter, Hlc, Observed, Record, Ring, Stamp};
use tokio::sync::{mpsc, oneshot};

use crate::clock::SharedClock;
use crate::metrics::Metrics;
use crate::operators::TimelinePage;

/// Handle for recording events; cheap to clone.
///
/// The hybrid logical clock is the only state that tasks share. A stamp is needed wherever a message is written, and
/// requesting it from another task would cost each call two more context switches.
#[derive(Clone)]
pub struct Recorder {
    node: NodeName,
    clock: SharedClock,
    hlc: Arc<Mutex<Hlc>>,
    metrics: Metrics,
    tx: mpsc::UnboundedSender<RecorderMessage>,
}

/// Task that owns the ring buffer of events.
#[derive(Debug)]
pub struct RecorderTask {
    ring: Ring,
    rx: mpsc::UnboundedReceiver<RecorderMessage>,
}

#[derive(Debug)]
enum RecorderMessage {
    Record(Record),
    Select(Filter, oneshot::Sender<TimelinePage>),
}

impl Recorder {
    /// Creates a recorder and its task, which keeps the last `capacity` events.
    pub fn new(
        node: NodeName,
        clock: SharedClock,
        metrics: Metrics,
        capacity: usize,
    ) -> (Self, RecorderTask) {
        let (tx, rx) = mpsc::unbounded_channel();
        let hlc = Arc::new(Mutex::new(Hlc::new()));
        let recorder = Self {
            node,
            clock,
            hlc,
            metrics,
            tx,
        };
        (
            recorder,
            RecorderTask {
                ring: Ring::new(capacity),
                rx,
            },
        )
    }

    /// Records an event with the current time.
    pub fn record(&self, request: Option<RequestId>, event: Event) {
        self.metrics.record_event(&event);
        let at = self.stamp();
        let record = Record {
            at,
            node: self.node.clone(),
            request,
            event,
        };
        let _ = self.tx.send(RecorderMessage::Record(record));
    }

    /// Advances the hybrid logical clock and returns a stamp for an event or an outgoing message.
    pub fn stamp(&self) -> Stamp {
        let wall = self.clock.system_time();
        self.hlc
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .tick(wall)
    }

    /// Advances the hybrid logical clock to a stamp received from a peer, unless it is too far ahead.
    pub fn observe(&self, peer: Stamp) {
        let wall = self.clock.system_time();
        let observed = self
            .hlc
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .observe(peer, wall);
        if observed == Observed::TooFarAhead {
            self.metrics.faults.record_ignored_stamp();
        }
    }

    /// Counts and records the breach of an invariant. Aborts the process in debug builds.
    pub fn report_breach(&self, invariant: Invariant) {
        self.record(None, Event::InvariantBreached { invariant });
        if cfg!(debug_assertions) {
            eprintln!("invariant breached: {}", invariant.as_str());
            std::process::abort();
        }
    }

    /// Returns the current time of the process's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the recorded events that match a filter.
    pub async fn select(&self, filter: Filter) -> TimelinePage {
        let (reply, records) = oneshot::channel();
        if self
            .tx
            .send(RecorderMessage::Select(filter, reply))
            .is_err()
        {
            return TimelinePage::default();
        }
        records.await.unwrap_or_default()
    }
}

impl RecorderTask {
    /// Runs until all recorders are dropped.
    pub async fn run(mut self) {
        while let Some(message) = self.rx.recv().await {
            match message {
                RecorderMessage::Record(record) => self.ring.push(record),
                RecorderMessage::Select(filter, reply) => {
                    let records = self.ring.select(filter);
                    let _ = reply.send(TimelinePage {
                        records,
                        dropped: self.ring.dropped(),
                    });
                }
            }
        }
    }
}
