//! Arrival of calls: token lookup, admission queue and early refusals.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::admission::Offer;
use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::lifecycle::Phase;
use coltsfootport_core::once::{Arrival, RecordKey, Refusal};
use coltsfootport_core::timeline::Event;
use tokio::sync::oneshot;

use super::{
    AdmissionDecision, AdmissionRequest, DownstreamCalls, Gate, InFlightCall, InFlightPhase,
    RepeatDetector,
};
use crate::data::Answer;

impl Gate {
    pub(super) fn admit(
        &mut self,
        request: AdmissionRequest,
        reply: oneshot::Sender<AdmissionDecision>,
    ) {
        let now = self.clock.now();
        let live = request.once.as_ref();
        let live = live.is_some_and(|once| self.once.is_live(&once.token));
        if !self.lifecycle.may_accept() && !live {
            self.refuse_while_closed(&request, reply, now);
            return;
        }
        let record = match self.arrive(&request, now) {
            None => None,
            Some(Arrival::Run(record)) => Some(record),
            Some(Arrival::Join(record)) => {
                self.record_token_event(&request, |attempt| Event::TokenJoined { attempt });
                self.join(record, request.deadline, reply);
                return;
            }
            Some(Arrival::Replay(answer)) => {
                self.record_token_event(&request, |attempt| Event::TokenReplayed { attempt });
                let _ = reply.send(AdmissionDecision::Replayed(answer));
                return;
            }
            Some(Arrival::Refused(kind)) => {
                self.refuse_call(&request, reply, kind);
                return;
            }
        };
        self.offer(request, record, reply, now);
    }

    fn record_token_event<E>(&self, request: &AdmissionRequest, event: E)
    where
        E: FnOnce(u16) -> Event,
    {
        let number = request.once.as_ref().map_or(0, |once| once.number.0);
        let number = u16::try_from(number).unwrap_or(u16::MAX);
        self.recorder.record(Some(request.request), event(number));
    }

    /// Answers a call while the node accepts no new work.
    ///
    /// A try of a token is refused permanently before its caller is told `not-run`. Otherwise an older try could arrive
    /// once a starting node has become ready, and run. An answer that is already stored is still replayed.
    fn refuse_while_closed(
        &mut self,
        request: &AdmissionRequest,
        reply: oneshot::Sender<AdmissionDecision>,
        now: Instant,
    ) {
        let refusal = match &request.once {
            None => Refusal::RefusedForGood,
            Some(once) => self.once.refuse(&once.token, once.number, now),
        };
        match refusal {
            Refusal::Ran(answer) => {
                let _ = reply.send(AdmissionDecision::Replayed(answer));
            }
            Refusal::RefusedForGood => self.refuse_call(request, reply, self.closed_error_kind()),
            Refusal::AnswerGone => self.refuse_call(request, reply, ErrorKind::AnswerGone),
            Refusal::Running | Refusal::Unknown => {
                self.refuse_call(request, reply, ErrorKind::HomeLost);
            }
        }
    }

    fn offer(
        &mut self,
        request: AdmissionRequest,
        record: Option<RecordKey>,
        reply: oneshot::Sender<AdmissionDecision>,
        now: Instant,
    ) {
        let offer = Offer {
            class: request.class,
            bucket: request.bucket,
            deadline: request.deadline,
        };
        self.abandon_disconnected();
        let admission_key = self.admission.offer(offer, now);
        self.lifecycle.accepted();
        let call = InFlightCall {
            request: request.request,
            class: request.class,
            class_name: request.class_name,
            operation: request.operation,
            deadline: request.deadline,
            depth: request.depth,
            sending: request.sending,
            arrived_at: now,
            allowance: Allowance::new(request.allowance),
            admission_key,
            record,
            phase: InFlightPhase::Queued,
            reply: Some(reply),
            repeat_detector: RepeatDetector::default(),
            downstream: DownstreamCalls::default(),
        };
        let key = self.calls.insert(call);
        self.by_admission_key.insert(admission_key, key);
        if let Some(record) = record {
            self.by_record.insert(record, key);
        }
        self.last_offered = Some(key);
    }

    /// Makes a further try of a token wait for the call of the first, and extends that call to the latest deadline.
    fn join(
        &mut self,
        record: RecordKey,
        deadline: Instant,
        reply: oneshot::Sender<AdmissionDecision>,
    ) {
        self.joined.entry(record).or_default().push(reply);
        let call = self.by_record.get(&record);
        if let Some(call) = call.and_then(|key| self.calls.get_mut(*key)) {
            call.deadline = call.deadline.max(deadline);
        }
    }

    fn arrive(&mut self, request: &AdmissionRequest, now: Instant) -> Option<Arrival<Arc<Answer>>> {
        let once = request.once.as_ref()?;
        Some(self.once.arrive(&once.token, once.number, now))
    }

    fn refuse_call(
        &mut self,
        request: &AdmissionRequest,
        reply: oneshot::Sender<AdmissionDecision>,
        kind: ErrorKind,
    ) {
        self.recorder.record(
            Some(request.request),
            Event::Refused {
                error: kind,
                elapsed_us: 0,
            },
        );
        let _ = reply.send(AdmissionDecision::Refused(self.refusal(kind)));
    }

    fn closed_error_kind(&self) -> ErrorKind {
        match self.lifecycle.phase() {
            Phase::Starting | Phase::Serving => ErrorKind::NotReady,
            Phase::Leaving | Phase::Stopped => ErrorKind::Leaving,
        }
    }

    /// Removes queued calls whose callers have disconnected.
    ///
    /// Otherwise clients that time out and retry would fill the queue with calls that nobody waits for, and calls with
    /// a connected caller would be refused.
    fn abandon_disconnected(&mut self) {
        let queued = std::mem::take(&mut self.queued_calls);
        for key in queued {
            let Some(call) = self.calls.get(key) else {
                continue;
            };
            if call.phase != InFlightPhase::Queued {
                continue;
            }
            if self.is_disconnected(call) {
                self.abandon(key);
            } else {
                self.queued_calls.push(key);
            }
        }
    }

    fn is_disconnected(&self, call: &InFlightCall) -> bool {
        let joined = call
            .record
            .is_some_and(|record| self.joined.contains_key(&record));
        !joined && call.reply.as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    pub(super) fn record_queued(&mut self) {
        let Some(key) = self.last_offered.take() else {
            return;
        };
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if call.phase != InFlightPhase::Queued {
            return;
        }
        let event = Event::Queued {
            class: call.class,
            ahead: self.admission.queued().saturating_sub(1) as u32,
        };
        self.queued_calls.push(key);
        self.recorder.record(Some(call.request), event);
    }
}
