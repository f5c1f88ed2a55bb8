//! The task that owns admission, the table of tokens, the lifecycle and the calls in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::admission::{
    Action, Admission, AdmissionConfig, CallKey, Finish, Level, LevelBoard, LevelBoardConfig, Offer,
};
use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::collections::Map;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::{Incarnation, NodeName, ServiceName};
use coltsfootport_core::lifecycle::{Lifecycle, LifecycleConfig, LifecycleEvent, Phase};
use coltsfootport_core::once::{Arrival, OnceConfig, OnceTable, RecordKey, Refusal, Token, Try};
use coltsfootport_core::timeline::Event;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    Admittance, ContextHandle, Departure, Entered, Flight, FlightEnd, FlightGuard, FlightKey,
    FlightPhase, GateHandle, GateMessage, GateStatus, OwnCalls, Parent,
};
use crate::clock::SharedClock;
use crate::data::{Answer, HostReport, Refused};
use crate::recorder::Recorder;
use crate::spread::Published;

/// What the gate is made of.
#[derive(Clone)]
pub struct GateSetup {
    /// Name of the node.
    pub node: NodeName,
    /// Service of its target.
    pub service: ServiceName,
    /// This run of the node.
    pub incarnation: Incarnation,
    /// When this run began.
    pub started: Instant,
    /// Settings of admission.
    pub admission: AdmissionConfig,
    /// Settings of the table of tokens.
    pub once: OnceConfig,
    /// Settings of the shutdown.
    pub lifecycle: LifecycleConfig,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Where the phases of the node's life are told.
    pub life: mpsc::UnboundedSender<LifecycleEvent>,
    /// What is published, for the revision that others hear of.
    pub published: watch::Receiver<Arc<Published>>,
}

/// The task that decides which calls the target runs.
pub struct Gate {
    node: NodeName,
    service: ServiceName,
    incarnation: Incarnation,
    clock: SharedClock,
    recorder: Recorder,
    life: mpsc::UnboundedSender<LifecycleEvent>,
    admission: Admission,
    once: OnceTable<Arc<Answer>>,
    lifecycle: Lifecycle,
    flights: SlotMap<FlightKey, Flight>,
    by_call: Map<CallKey, FlightKey>,
    by_record: Map<RecordKey, FlightKey>,
    joined: Map<RecordKey, Vec<oneshot::Sender<Entered>>>,
    below: LevelBoard,
    /// A call that asked to run by the message at hand.
    entering: Option<FlightKey>,
    actions: Vec<Action>,
    drained: Vec<oneshot::Sender<()>>,
    rng: SmallRng,
    published: watch::Receiver<Arc<Published>>,
    /// Calls that wait, for those whose callers leave.
    waiting: Vec<FlightKey>,
    tx: mpsc::UnboundedSender<GateMessage>,
    rx: mpsc::UnboundedReceiver<GateMessage>,
}

impl Gate {
    /// A gate and the handle to it.
    pub fn new(setup: GateSetup) -> (Self, GateHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = setup.clock.now();
        let gate = Self {
            admission: Admission::new(setup.admission, now),
            once: OnceTable::new(setup.once, setup.incarnation, setup.started),
            lifecycle: Lifecycle::new(setup.lifecycle),
            flights: SlotMap::with_key(),
            by_call: Map::default(),
            by_record: Map::default(),
            joined: Map::default(),
            below: LevelBoard::new(LevelBoardConfig::default()),
            actions: Vec::new(),
            drained: Vec::new(),
            rng: SmallRng::from_os_rng(),
            published: setup.published,
            waiting: Vec::new(),
            node: setup.node,
            service: setup.service,
            entering: None,
            incarnation: setup.incarnation,
            clock: setup.clock,
            recorder: setup.recorder,
            life: setup.life,
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
                _ = tokio::time::sleep_until(wake_at.into()) => self.once.expire(self.clock.now()),
            }
            self.settle();
        }
    }

    fn wake_at(&self, now: Instant) -> Instant {
        let admission = self.admission.next_wakeup();
        let life = self.lifecycle.wake_at();
        let due = admission
            .into_iter()
            .chain(life)
            .min()
            .unwrap_or(now + LONGEST_SLEEP);
        due.clamp(now + SHORTEST_SLEEP, now + LONGEST_SLEEP)
    }

    fn handle(&mut self, message: GateMessage) {
        match message {
            GateMessage::Enter(admittance, reply) => self.enter(*admittance, reply),
            GateMessage::Dispatch(key, reply) => {
                let _ = reply.send(self.dispatch(key));
            }
            GateMessage::Finish(key, end, reply) => self.finish(key, end, reply),
            GateMessage::Abandon(key) => self.abandon(key),
            GateMessage::Report(operation, reply) => {
                let _ = reply.send(self.report(&operation));
            }
            GateMessage::Parent(handle, reply) => {
                let _ = reply.send(self.parent(handle));
            }
            GateMessage::Grant(key, reply) => self.grant(key, reply),
            GateMessage::GiveBack {
                flight,
                granted,
                left,
            } => {
                self.give_back(flight, granted, left);
            }
            GateMessage::Spend(key, reply) => {
                let spent = self
                    .flights
                    .get_mut(key)
                    .is_some_and(|f| f.allowance.spend());
                let _ = reply.send(spent);
            }
            GateMessage::OwnCall(key, fingerprint, reply) => {
                if let Some(flight) = self.flights.get_mut(key) {
                    flight.own_calls.begin(key, fingerprint, reply, &self.tx);
                }
            }
            GateMessage::OwnCallEnded {
                flight: key,
                fingerprint,
                succeeded,
            } => {
                if let Some(flight) = self.flights.get_mut(key) {
                    flight
                        .own_calls
                        .ended(key, fingerprint, succeeded, &self.tx);
                }
            }
            GateMessage::LevelBelow(key, level) => self.level_below(key, level),
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

    fn enter(&mut self, admittance: Admittance, reply: oneshot::Sender<Entered>) {
        let now = self.clock.now();
        let live = admittance.once.as_ref();
        let live = live.is_some_and(|once| self.once.is_live(&once.token));
        if !self.lifecycle.may_accept() && !live {
            self.enter_closed(&admittance, reply, now);
            return;
        }
        let record = match self.arrive(&admittance, now) {
            None => None,
            Some(Arrival::Run(record)) => Some(record),
            Some(Arrival::Join(record)) => {
                self.note_token(&admittance, |attempt| Event::TokenJoined { attempt });
                self.join(record, admittance.deadline, reply);
                return;
            }
            Some(Arrival::Replay(answer)) => {
                self.note_token(&admittance, |attempt| Event::TokenReplayed { attempt });
                let _ = reply.send(Entered::Replayed(answer));
                return;
            }
            Some(Arrival::Refused(kind)) => {
                self.refuse_entry(&admittance, reply, kind);
                return;
            }
        };
        self.admit(admittance, record, reply, now);
    }

    fn note_token<E>(&self, admittance: &Admittance, event: E)
    where
        E: FnOnce(u16) -> Event,
    {
        let number = admittance.once.as_ref().map_or(0, |once| once.number.0);
        let number = u16::try_from(number).unwrap_or(u16::MAX);
        self.recorder
            .record(Some(admittance.request), event(number));
    }

    /// Answers a call while no new work is taken.
    ///
    /// A token's try is refused for good before its caller hears "not run": while the node is still starting, an older try
    /// could otherwise arrive after it became ready, and run. An answer kept from before is still given.
    fn enter_closed(
        &mut self,
        admittance: &Admittance,
        reply: oneshot::Sender<Entered>,
        now: Instant,
    ) {
        let refusal = match &admittance.once {
            None => Refusal::RefusedForGood,
            Some(once) => self.once.refuse(&once.token, once.number, now),
        };
        match refusal {
            Refusal::Ran(answer) => {
                let _ = reply.send(Entered::Replayed(answer));
            }
            Refusal::RefusedForGood => self.refuse_entry(admittance, reply, self.closed_kind()),
            Refusal::AnswerGone => self.refuse_entry(admittance, reply, ErrorKind::AnswerGone),
            Refusal::Running | Refusal::Unknown => {
                self.refuse_entry(admittance, reply, ErrorKind::HomeLost);
            }
        }
    }

    fn admit(
        &mut self,
        admittance: Admittance,
        record: Option<RecordKey>,
        reply: oneshot::Sender<Entered>,
        now: Instant,
    ) {
        let offer = Offer {
            class: admittance.class,
            bucket: admittance.bucket,
            deadline: admittance.deadline,
        };
        self.drop_left();
        let call = self.admission.offer(offer, now);
        self.lifecycle.accepted();
        let flight = Flight {
            request: admittance.request,
            class: admittance.class,
            class_name: admittance.class_name,
            operation: admittance.operation,
            deadline: admittance.deadline,
            depth: admittance.depth,
            sending: admittance.sending,
            entered: now,
            allowance: Allowance::new(admittance.allowance),
            call,
            record,
            phase: FlightPhase::Queued,
            reply: Some(reply),
            own_calls: OwnCalls::default(),
        };
        let key = self.flights.insert(flight);
        self.by_call.insert(call, key);
        if let Some(record) = record {
            self.by_record.insert(record, key);
        }
        self.entering = Some(key);
    }

    /// Lets a further try of a token wait for the first, and the call last as long as the most patient of them.
    fn join(&mut self, record: RecordKey, deadline: Instant, reply: oneshot::Sender<Entered>) {
        self.joined.entry(record).or_default().push(reply);
        let flight = self.by_record.get(&record);
        if let Some(flight) = flight.and_then(|key| self.flights.get_mut(*key)) {
            flight.deadline = flight.deadline.max(deadline);
        }
    }

    fn arrive(&mut self, admittance: &Admittance, now: Instant) -> Option<Arrival<Arc<Answer>>> {
        let once = admittance.once.as_ref()?;
        Some(self.once.arrive(&once.token, once.number, now))
    }

    fn refuse_entry(
        &mut self,
        admittance: &Admittance,
        reply: oneshot::Sender<Entered>,
        kind: ErrorKind,
    ) {
        self.recorder.record(
            Some(admittance.request),
            Event::Refused {
                error: kind,
                elapsed_us: 0,
            },
        );
        let _ = reply.send(Entered::Refused(self.refused(kind)));
    }

    fn closed_kind(&self) -> ErrorKind {
        match self.lifecycle.phase() {
            Phase::Starting | Phase::Serving => ErrorKind::NotReady,
            Phase::Leaving | Phase::Stopped => ErrorKind::Leaving,
        }
    }

    fn dispatch(&mut self, key: FlightKey) -> Result<(), ErrorKind> {
        let now = self.clock.now();
        let Some(flight) = self.flights.get_mut(key) else {
            return Err(ErrorKind::Cancelled);
        };
        // A process that was paused between admission and here would otherwise run a call whose caller has gone.
        if now >= flight.deadline {
            return Err(ErrorKind::ExpiredBeforeDispatch);
        }
        if !self.lifecycle.may_dispatch() {
            return Err(ErrorKind::Leaving);
        }
        if let Some(record) = flight.record {
            self.once.dispatch(record, flight.deadline, now)?;
        }
        if let Some(breach) = self.lifecycle.dispatched() {
            self.recorder.breach(breach);
            return Err(ErrorKind::Leaving);
        }
        flight.phase = FlightPhase::Dispatched;
        let event = Event::Dispatched {
            attempt: flight.sending,
            elapsed_us: micros(now, flight.entered),
        };
        self.recorder.record(Some(flight.request), event);
        Ok(())
    }

    fn finish(&mut self, key: FlightKey, end: FlightEnd, reply: oneshot::Sender<Departure>) {
        let Some(flight) = self.end(key, end) else {
            return;
        };
        let departure = Departure {
            allowance_left: flight.allowance.left(),
            report: self.report(&flight.operation),
        };
        let _ = reply.send(departure);
    }

    fn abandon(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.get(key) else {
            return;
        };
        let end = match flight.phase {
            FlightPhase::Dispatched => FlightEnd::Lost(ErrorKind::AnswerLost),
            FlightPhase::Queued | FlightPhase::Admitted => {
                FlightEnd::Withdrawn(ErrorKind::Cancelled)
            }
        };
        let elapsed_us = micros(self.clock.now(), flight.entered);
        self.recorder
            .record(Some(flight.request), Event::Cancelled { elapsed_us });
        self.end(key, end);
    }

    /// Takes a call out of every table that knows it.
    fn end(&mut self, key: FlightKey, end: FlightEnd) -> Option<Flight> {
        let flight = self.flights.remove(key)?;
        let now = self.clock.now();
        self.by_call.remove(&flight.call);
        match flight.phase {
            FlightPhase::Dispatched => self.lifecycle.finished(),
            FlightPhase::Queued | FlightPhase::Admitted => self.lifecycle.withdrawn(),
        }
        self.admission.finish(flight.call, admission_end(&end), now);
        if let Some(record) = flight.record {
            self.end_record(record, end, now);
        }
        Some(flight)
    }

    fn end_record(&mut self, record: RecordKey, end: FlightEnd, now: Instant) {
        self.by_record.remove(&record);
        let joined = self.joined.remove(&record).unwrap_or_default();
        match end {
            FlightEnd::Answered(answer) => {
                self.once.answered(record, Arc::clone(&answer), now);
                for reply in joined {
                    let _ = reply.send(Entered::Replayed(Arc::clone(&answer)));
                }
            }
            FlightEnd::Lost(kind) => {
                self.once.lost(record, now);
                self.refuse_joined(joined, kind);
            }
            FlightEnd::Withdrawn(kind) => {
                self.once.withdrawn(record, now);
                self.refuse_joined(joined, kind);
            }
        }
    }

    fn refuse_joined(&mut self, joined: Vec<oneshot::Sender<Entered>>, kind: ErrorKind) {
        for reply in joined {
            let _ = reply.send(Entered::Refused(self.refused(kind)));
        }
    }

    /// Carries out what admission and the lifecycle decided since the last message.
    fn settle(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.admission.poll(now, &mut actions);
        while !actions.is_empty() {
            for action in actions.drain(..) {
                match action {
                    Action::Start(call) => self.start(call),
                    Action::Refuse(call, kind) => self.shed(call, kind),
                }
            }
            self.admission.poll(now, &mut actions);
        }
        self.actions = actions;
        self.note_queued();
        self.check();
        self.poll_life(now);
    }

    /// Takes calls out of the queue whose callers have left.
    ///
    /// Clients that give up and try again would otherwise fill the queue with calls that nobody waits for, and the living ones
    /// are refused.
    fn drop_left(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for key in waiting {
            let Some(flight) = self.flights.get(key) else {
                continue;
            };
            if flight.phase != FlightPhase::Queued {
                continue;
            }
            if self.is_left(flight) {
                self.abandon(key);
            } else {
                self.waiting.push(key);
            }
        }
    }

    fn is_left(&self, flight: &Flight) -> bool {
        let joined = flight
            .record
            .is_some_and(|record| self.joined.contains_key(&record));
        !joined
            && flight
                .reply
                .as_ref()
                .is_some_and(oneshot::Sender::is_closed)
    }

    fn note_queued(&mut self) {
        let Some(key) = self.entering.take() else {
            return;
        };
        let Some(flight) = self.flights.get(key) else {
            return;
        };
        if flight.phase != FlightPhase::Queued {
            return;
        }
        let event = Event::Queued {
            class: flight.class,
            ahead: self.admission.queued().saturating_sub(1) as u32,
        };
        self.waiting.push(key);
        self.recorder.record(Some(flight.request), event);
    }

    fn start(&mut self, call: CallKey) {
        let Some(&key) = self.by_call.get(&call) else {
            return;
        };
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        flight.phase = FlightPhase::Admitted;
        let event = Event::Admitted {
            class: flight.class,
            elapsed_us: micros(self.clock.now(), flight.entered),
        };
        self.recorder.record(Some(flight.request), event);
        let Some(reply) = flight.reply.take() else {
            return;
        };
        let record = flight.record;
        let joined = record.and_then(|record| self.joined.remove(&record));
        let mut waiting = std::iter::once(reply).chain(joined.unwrap_or_default());
        let mut guard = FlightGuard::new(key, self.tx.clone());
        // The first caller may have left while a later try of its token waits; that one then runs the call. Where nobody is
        // left, dropping the guard abandons it.
        for reply in waiting.by_ref() {
            match reply.send(Entered::Admitted(guard)) {
                Ok(()) => break,
                Err(Entered::Admitted(unsent)) => guard = unsent,
                Err(_) => return,
            }
        }
        let left: Vec<_> = waiting.collect();
        if let Some(record) = record.filter(|_| !left.is_empty()) {
            self.joined.insert(record, left);
        }
    }

    fn shed(&mut self, call: CallKey, kind: ErrorKind) {
        let Some(key) = self.by_call.remove(&call) else {
            return;
        };
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        self.lifecycle.withdrawn();
        let event = Event::Shed {
            service: self.service.clone(),
            class: flight.class,
            level: self.admission.level().position(),
        };
        self.recorder.record(Some(flight.request), event);
        if let Some(record) = flight.record {
            self.end_record(record, FlightEnd::Withdrawn(kind), self.clock.now());
        }
        if let Some(reply) = flight.reply {
            let _ = reply.send(Entered::Refused(self.refused(kind)));
        }
    }

    fn check(&mut self) {
        if let Err(breach) = self.admission.check() {
            self.recorder.breach(breach);
        }
        if let Some(breach) = self.once.take_breach() {
            self.recorder.breach(breach);
        }
    }

    fn poll_life(&mut self, now: Instant) {
        while let Some(event) = self.lifecycle.poll(now) {
            if matches!(event, LifecycleEvent::Drained) {
                for reply in self.drained.drain(..) {
                    let _ = reply.send(());
                }
            }
            let _ = self.life.send(event);
        }
    }

    fn ready(&mut self) {
        if self.lifecycle.ready(self.clock.now()) {
            self.recorder.record(
                None,
                Event::Phase {
                    phase: SmolStr::new_static("serving"),
                },
            );
        }
    }

    fn leave(&mut self, reply: oneshot::Sender<()>) {
        self.drained.push(reply);
        if self.lifecycle.leave(self.clock.now()) {
            self.recorder.record(
                None,
                Event::Phase {
                    phase: SmolStr::new_static("leaving"),
                },
            );
        }
    }

    fn parent(&self, handle: ContextHandle) -> Option<Parent> {
        if !handle.is_of(self.incarnation) {
            return None;
        }
        let flight = self.flights.get(handle.flight)?;
        Some(Parent {
            flight: handle.flight,
            request: flight.request,
            class: flight.class,
            class_name: flight.class_name.clone(),
            deadline: flight.deadline,
            depth: flight.depth.saturating_add(1),
        })
    }

    fn grant(&mut self, key: FlightKey, reply: oneshot::Sender<u16>) {
        let Some(flight) = self.flights.get_mut(key) else {
            let _ = reply.send(0);
            return;
        };
        let granted = flight.allowance.grant();
        if reply.send(granted).is_err() {
            let _ = flight.allowance.give_back(granted, granted);
        }
    }

    fn give_back(&mut self, key: FlightKey, granted: u16, left: u16) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        if let Err(breach) = flight.allowance.give_back(granted, left) {
            self.recorder.breach(breach);
        }
    }

    fn level_below(&mut self, key: FlightKey, level: Level) {
        let Some(flight) = self.flights.get(key) else {
            return;
        };
        let operation = ServiceName(flight.operation.clone());
        self.below.heard(&operation, level, self.clock.now());
    }

    fn refuse(&mut self, token: &Token, up_to: Try) -> Refusal<Arc<Answer>> {
        self.recorder.record(
            None,
            Event::TokenBurned {
                attempt: up_to.0 as u16,
            },
        );
        self.once.refuse(token, up_to, self.clock.now())
    }

    fn report(&mut self, operation: &SmolStr) -> HostReport {
        let now = self.clock.now();
        let below = self.below.level(&ServiceName(operation.clone()), now);
        HostReport {
            node: self.node.clone(),
            incarnation: self.incarnation,
            tick: self.once.tick(now),
            state: self.lifecycle.node_state(),
            in_flight: self.admission.in_flight(),
            queued: self.admission.queued() as u32,
            limit: self.admission.limit(),
            level: self.admission.level().min(below),
            revision: self.published.borrow().revision,
        }
    }

    fn status(&self) -> GateStatus {
        GateStatus {
            in_flight: self.admission.in_flight(),
            queued: self.admission.queued() as u32,
            limit: self.admission.limit(),
            level: self.admission.level(),
            records: self.once.len(),
            phase: self.lifecycle.phase(),
        }
    }

    /// A refusal that tells the caller honestly when a place is likely to be free again.
    ///
    /// The time is the wait of the calls already queued plus a random part, so that refused callers don't return together.
    fn refused(&mut self, kind: ErrorKind) -> Refused {
        let now = self.clock.now();
        let turns = self.admission.queued() as f64 / f64::from(self.admission.limit().max(1));
        let wait = self
            .admission
            .service_time(now)
            .mul_f64(turns + 1.0)
            .max(LEAST_RETRY_AFTER);
        let retry_after = wait.mul_f64(self.rng.random_range(1.0..RETRY_AFTER_SPREAD));
        Refused::new(kind, retry_after.min(MOST_RETRY_AFTER))
    }
}

const LONGEST_SLEEP: Duration = Duration::from_secs(1);
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(200);
const MOST_RETRY_AFTER: Duration = Duration::from_secs(10);
const RETRY_AFTER_SPREAD: f64 = 3.0;

fn micros(now: Instant, since: Instant) -> u64 {
    now.saturating_duration_since(since).as_micros() as u64
}

fn admission_end(end: &FlightEnd) -> Finish {
    match end {
        FlightEnd::Answered(answer) if answer.status.is_server_error() => Finish::Failed,
        FlightEnd::Answered(_) => Finish::Served,
        FlightEnd::Lost(_) => Finish::Failed,
        FlightEnd::Withdrawn(_) => Finish::Cancelled,
    }
}
