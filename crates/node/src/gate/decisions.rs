//! Applies the decisions of admission and of the lifecycle.

use coltsfootport_core::admission::{Action, CallKey};
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::timeline::Event;

use super::{AdmissionDecision, Completion, Gate, InFlightGuard, InFlightPhase};
use crate::clock::elapsed_micros;

impl Gate {
    /// Applies what admission and the lifecycle have decided since the last message.
    pub(super) fn apply_decisions(&mut self) {
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
        self.record_queued();
        self.check_invariants();
        self.poll_lifecycle(now);
    }

    fn start(&mut self, admission_key: CallKey) {
        let Some(&key) = self.by_admission_key.get(&admission_key) else {
            return;
        };
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.phase = InFlightPhase::Admitted;
        let event = Event::Admitted {
            class: call.class,
            elapsed_us: elapsed_micros(self.clock.now(), call.arrived_at),
        };
        self.recorder.record(Some(call.request), event);
        let Some(reply) = call.reply.take() else {
            return;
        };
        let record = call.record;
        let joined = record.and_then(|record| self.joined.remove(&record));
        let mut replies = std::iter::once(reply).chain(joined.unwrap_or_default());
        let mut guard = InFlightGuard::new(key, self.tx.clone());
        // The first caller may have disconnected while a later try of its token is waiting; that try then runs the
        // call. If no caller remains, dropping the guard abandons the call.
        for reply in replies.by_ref() {
            match reply.send(AdmissionDecision::Admitted(guard)) {
                Ok(()) => break,
                Err(AdmissionDecision::Admitted(unsent)) => guard = unsent,
                Err(_) => return,
            }
        }
        let unsent: Vec<_> = replies.collect();
        if let Some(record) = record.filter(|_| !unsent.is_empty()) {
            self.joined.insert(record, unsent);
        }
    }

    fn shed(&mut self, admission_key: CallKey, kind: ErrorKind) {
        let Some(key) = self.by_admission_key.remove(&admission_key) else {
            return;
        };
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.lifecycle.withdrawn();
        let event = Event::Shed {
            service: self.service.clone(),
            class: call.class,
            level: self.admission.level().position(),
        };
        self.recorder.record(Some(call.request), event);
        if let Some(record) = call.record {
            self.complete_record(record, Completion::Withdrawn(kind), self.clock.now());
        }
        if let Some(reply) = call.reply {
            let _ = reply.send(AdmissionDecision::Refused(self.refusal(kind)));
        }
    }

    fn check_invariants(&mut self) {
        if let Err(breach) = self.admission.check() {
            self.recorder.report_breach(breach);
        }
        if let Some(breach) = self.once.take_breach() {
            self.recorder.report_breach(breach);
        }
    }
}
