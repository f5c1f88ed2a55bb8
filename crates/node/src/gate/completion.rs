//! Dispatch of calls to the target, and their completion.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::admission::Finish;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::once::RecordKey;
use coltsfootport_core::timeline::Event;
use tokio::sync::oneshot;

use super::{
    AdmissionDecision, Completion, CompletionReply, Gate, InFlightCall, InFlightKey, InFlightPhase,
};
use crate::clock::elapsed_micros;

impl Gate {
    pub(super) fn dispatch(&mut self, key: InFlightKey) -> Result<(), ErrorKind> {
        let now = self.clock.now();
        let Some(call) = self.calls.get_mut(key) else {
            return Err(ErrorKind::Cancelled);
        };
        // If the process was paused after admission, it would otherwise run a call whose caller is gone.
        if now >= call.deadline {
            return Err(ErrorKind::ExpiredBeforeDispatch);
        }
        if !self.lifecycle.may_dispatch() {
            return Err(ErrorKind::Leaving);
        }
        if let Some(record) = call.record {
            self.once.dispatch(record, call.deadline, now)?;
        }
        if let Some(breach) = self.lifecycle.dispatched() {
            self.recorder.report_breach(breach);
            return Err(ErrorKind::Leaving);
        }
        call.phase = InFlightPhase::Dispatched;
        let event = Event::Dispatched {
            attempt: call.sending,
            elapsed_us: elapsed_micros(now, call.arrived_at),
        };
        self.recorder.record(Some(call.request), event);
        Ok(())
    }

    pub(super) fn finish(
        &mut self,
        key: InFlightKey,
        completion: Completion,
        reply: oneshot::Sender<CompletionReply>,
    ) {
        let Some(call) = self.remove(key, completion) else {
            return;
        };
        let completed = CompletionReply {
            allowance_left: call.allowance.left(),
            report: self.report(&call.operation),
        };
        let _ = reply.send(completed);
    }

    pub(super) fn abandon(&mut self, key: InFlightKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let completion = match call.phase {
            InFlightPhase::Dispatched => Completion::Lost(ErrorKind::AnswerLost),
            InFlightPhase::Queued | InFlightPhase::Admitted => {
                Completion::Withdrawn(ErrorKind::Cancelled)
            }
        };
        let elapsed_us = elapsed_micros(self.clock.now(), call.arrived_at);
        self.recorder
            .record(Some(call.request), Event::Cancelled { elapsed_us });
        self.remove(key, completion);
    }

    /// Removes a call from every table and reports its completion to admission, the lifecycle and its record.
    fn remove(&mut self, key: InFlightKey, completion: Completion) -> Option<InFlightCall> {
        let call = self.calls.remove(key)?;
        let now = self.clock.now();
        self.by_admission_key.remove(&call.admission_key);
        match call.phase {
            InFlightPhase::Dispatched => self.lifecycle.finished(),
            InFlightPhase::Queued | InFlightPhase::Admitted => self.lifecycle.withdrawn(),
        }
        let downstream_wait = call.downstream.total(now);
        self.admission
            .record_downstream_wait(call.admission_key, downstream_wait);
        let finish = admission_finish(&completion, call.downstream.may_have_failed());
        self.admission.finish(call.admission_key, finish, now);
        if let Some(record) = call.record {
            self.complete_record(record, completion, now);
        }
        Some(call)
    }

    pub(super) fn complete_record(
        &mut self,
        record: RecordKey,
        completion: Completion,
        now: Instant,
    ) {
        self.by_record.remove(&record);
        let joined = self.joined.remove(&record).unwrap_or_default();
        match completion {
            Completion::Answered(answer) => {
                self.once.answered(record, Arc::clone(&answer), now);
                for reply in joined {
                    let _ = reply.send(AdmissionDecision::Replayed(Arc::clone(&answer)));
                }
            }
            Completion::Lost(kind) => {
                self.once.lost(record, now);
                self.refuse_joined(joined, kind);
            }
            Completion::Withdrawn(kind) => {
                self.once.withdrawn(record, now);
                self.refuse_joined(joined, kind);
            }
        }
    }

    fn refuse_joined(&mut self, joined: Vec<oneshot::Sender<AdmissionDecision>>, kind: ErrorKind) {
        for reply in joined {
            let _ = reply.send(AdmissionDecision::Refused(self.refusal(kind)));
        }
    }
}

fn admission_finish(completion: &Completion, downstream_may_have_failed: bool) -> Finish {
    match completion {
        Completion::Answered(answer)
            if answer.status.is_server_error() && downstream_may_have_failed =>
        {
            Finish::FailedDownstream
        }
        Completion::Lost(_) if downstream_may_have_failed => Finish::FailedDownstream,
        Completion::Answered(answer) if answer.status.is_server_error() => Finish::Failed,
        Completion::Answered(_) => Finish::Served,
        Completion::Lost(_) => Finish::Failed,
        Completion::Withdrawn(_) => Finish::Cancelled,
    }
}
