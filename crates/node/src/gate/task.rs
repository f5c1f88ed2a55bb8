//! The task that owns admission, the token table, the lifecycle and the calls in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::admission::{
    Action, Admission, AdmissionConfig, CallKey, DownstreamLevels, DownstreamLevelsConfig,
};
use coltsfootport_core::collections::Map;
use coltsfootport_core::id::{Incarnation, NodeName, ServiceName};
use coltsfootport_core::lifecycle::{Lifecycle, LifecycleConfig, LifecycleEvent};
use coltsfootport_core::once::{OnceConfig, OnceTable, RecordKey};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use tokio::sync::{mpsc, oneshot, watch};

use super::{AdmissionDecision, GateHandle, GateMessage, InFlightCall, InFlightKey};
use crate::clock::SharedClock;
use crate::data::Answer;
use crate::recorder::Recorder;
use crate::spread::Published;

/// Dependencies and configuration of the gate.
#[derive(Clone)]
pub struct GateSetup {
    /// Name of the node.
    pub node: NodeName,
    /// Service that the target provides.
    pub service: ServiceName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// When this incarnation started.
    pub started: Instant,
    /// Admission configuration.
    pub admission: AdmissionConfig,
    /// Token table configuration.
    pub once: OnceConfig,
    /// Shutdown configuration.
    pub lifecycle: LifecycleConfig,
    /// Clock of the process.
    pub clock: SharedClock,
    /// Recorder of timeline events.
    pub recorder: Recorder,
    /// Receives the lifecycle events of the node.
    pub lifecycle_events: mpsc::UnboundedSender<LifecycleEvent>,
    /// Published snapshot, whose revision is included in host reports.
    pub published: watch::Receiver<Arc<Published>>,
}

/// The task that decides which calls the target runs.
pub struct Gate {
    pub(super) node: NodeName,
    pub(super) service: ServiceName,
    pub(super) incarnation: Incarnation,
    pub(super) clock: SharedClock,
    pub(super) recorder: Recorder,
    pub(super) lifecycle_events: mpsc::UnboundedSender<LifecycleEvent>,
    pub(super) admission: Admission,
    pub(super) once: OnceTable<Arc<Answer>>,
    pub(super) lifecycle: Lifecycle,
    pub(super) calls: SlotMap<InFlightKey, InFlightCall>,
    pub(super) by_admission_key: Map<CallKey, InFlightKey>,
    pub(super) by_record: Map<RecordKey, InFlightKey>,
    pub(super) joined: Map<RecordKey, Vec<oneshot::Sender<AdmissionDecision>>>,
    pub(super) downstream_levels: DownstreamLevels,
    /// Call offered to admission by the current message.
    pub(super) last_offered: Option<InFlightKey>,
    pub(super) actions: Vec<Action>,
    pub(super) drain_waiters: Vec<oneshot::Sender<()>>,
    pub(super) rng: SmallRng,
    pub(super) published: watch::Receiver<Arc<Published>>,
    /// Queued calls, checked for disconnected callers.
    pub(super) queued_calls: Vec<InFlightKey>,
    /// When the records of expired tokens are removed next.
    pub(super) expire_at: Instant,
    pub(super) tx: mpsc::UnboundedSender<GateMessage>,
    pub(super) rx: mpsc::UnboundedReceiver<GateMessage>,
}

impl Gate {
    /// Creates a gate and its handle.
    pub fn new(setup: GateSetup) -> (Self, GateHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = setup.clock.now();
        let gate = Self {
            admission: Admission::new(setup.admission, now),
            once: OnceTable::new(setup.once, setup.incarnation, setup.started),
            lifecycle: Lifecycle::new(setup.lifecycle),
            calls: SlotMap::with_key(),
            by_admission_key: Map::default(),
            by_record: Map::default(),
            joined: Map::default(),
            downstream_levels: DownstreamLevels::new(DownstreamLevelsConfig::default()),
            actions: Vec::new(),
            drain_waiters: Vec::new(),
            rng: SmallRng::from_os_rng(),
            published: setup.published,
            queued_calls: Vec::new(),
            expire_at: now + MAX_SLEEP,
            node: setup.node,
            service: setup.service,
            last_offered: None,
            incarnation: setup.incarnation,
            clock: setup.clock,
            recorder: setup.recorder,
            lifecycle_events: setup.lifecycle_events,
            tx: tx.clone(),
            rx,
        };
        (gate, GateHandle::new(tx))
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            let wake_at = self.wake_at(now);
            tokio::select! {
                biased;
                message = self.rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = tokio::time::sleep_until(wake_at.into()) => {}
            }
            self.expire();
            self.apply_decisions();
        }
    }

    /// Removes the records of expired tokens once every [`MAX_SLEEP`].
    ///
    /// Independent of the wake-up timer, which never fires if messages keep arriving more often than once a second.
    /// Expired records would then fill the table.
    fn expire(&mut self) {
        let now = self.clock.now();
        if now >= self.expire_at {
            self.once.expire(now);
            self.expire_at = now + MAX_SLEEP;
        }
    }

    fn wake_at(&self, now: Instant) -> Instant {
        let admission = self.admission.next_wakeup();
        let lifecycle = self.lifecycle.wake_at();
        let due = admission
            .into_iter()
            .chain(lifecycle)
            .min()
            .unwrap_or(now + MAX_SLEEP);
        due.clamp(now + MIN_SLEEP, now + MAX_SLEEP)
    }

    fn handle(&mut self, message: GateMessage) {
        match message {
            GateMessage::Admit(request, reply) => self.admit(*request, reply),
            GateMessage::Dispatch(key, reply) => {
                let _ = reply.send(self.dispatch(key));
            }
            GateMessage::Finish(key, completion, reply) => self.finish(key, completion, reply),
            GateMessage::Abandon(key) => self.abandon(key),
            GateMessage::Report(operation, reply) => {
                let _ = reply.send(self.report(&operation));
            }
            GateMessage::Parent(handle, reply) => {
                let _ = reply.send(self.parent(handle));
            }
            GateMessage::GrantAllowance(key, reply) => self.grant_allowance(key, reply),
            GateMessage::ReclaimAllowance { key, granted, left } => {
                self.reclaim_allowance(key, granted, left);
            }
            GateMessage::SpendRetry(key, reply) => {
                let spent = self
                    .calls
                    .get_mut(key)
                    .is_some_and(|call| call.allowance.spend());
                let _ = reply.send(spent);
            }
            GateMessage::AcquirePermit(key, fingerprint, reply) => {
                if let Some(call) = self.calls.get_mut(key) {
                    call.repeat_detector
                        .acquire(key, fingerprint, reply, &self.tx);
                }
            }
            GateMessage::ReleasePermit {
                key,
                fingerprint,
                succeeded,
            } => {
                if let Some(call) = self.calls.get_mut(key) {
                    call.repeat_detector
                        .release(key, fingerprint, succeeded, &self.tx);
                }
            }
            GateMessage::DownstreamStarted(key) => {
                let now = self.clock.now();
                if let Some(call) = self.calls.get_mut(key) {
                    call.downstream.started(now);
                }
            }
            GateMessage::DownstreamEnded { key, succeeded } => {
                let now = self.clock.now();
                if let Some(call) = self.calls.get_mut(key) {
                    call.downstream.ended(succeeded, now);
                }
            }
            GateMessage::DownstreamLevel(key, level) => self.record_downstream_level(key, level),
            GateMessage::Refuse(token, up_to, reply) => {
                let _ = reply.send(self.refuse(&token, up_to));
            }
            GateMessage::Ready => self.ready(),
            GateMessage::Leave(reply) => self.leave(reply),
            GateMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }
}

/// Longest time between two wake-ups, and interval at which expired token records are removed.
const MAX_SLEEP: Duration = Duration::from_secs(1);
const MIN_SLEEP: Duration = Duration::from_millis(1);
