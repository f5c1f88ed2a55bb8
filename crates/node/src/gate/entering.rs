//! Calls that ask to run.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::admission::Offer;
use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::lifecycle::Phase;
use coltsfootport_core::once::{Arrival, RecordKey, Refusal};
use coltsfootport_core::timeline::Event;
use tokio::sync::oneshot;

use super::{Admittance, Below, Entered, Flight, FlightPhase, Gate, OwnCalls};
use crate::data::Answer;

impl Gate {
    pub(super) fn enter(&mut self, admittance: Admittance, reply: oneshot::Sender<Entered>) {
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
            below: Below::default(),
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

    pub(super) fn note_queued(&mut self) {
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
}
