//! What admission decided since the last message.

use coltsfootport_core::admission::{Action, CallKey};
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::timeline::Event;

use super::{Entered, FlightEnd, FlightGuard, FlightPhase, Gate};
use crate::clock::elapsed_micros;

impl Gate {
    /// Carries out what admission and the lifecycle decided since the last message.
    pub(super) fn settle(&mut self) {
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
            elapsed_us: elapsed_micros(self.clock.now(), flight.entered),
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
            self.recorder.report_breach(breach);
        }
        if let Some(breach) = self.once.take_breach() {
            self.recorder.report_breach(breach);
        }
    }
}
