//! Calls that go to the target, and their ends.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::admission::Finish;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::once::RecordKey;
use coltsfootport_core::timeline::Event;
use tokio::sync::oneshot;

use super::{Departure, Entered, Flight, FlightEnd, FlightKey, FlightPhase, Gate};
use crate::clock::elapsed_micros;

impl Gate {
    pub(super) fn dispatch(&mut self, key: FlightKey) -> Result<(), ErrorKind> {
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
            self.recorder.report_breach(breach);
            return Err(ErrorKind::Leaving);
        }
        flight.phase = FlightPhase::Dispatched;
        let event = Event::Dispatched {
            attempt: flight.sending,
            elapsed_us: elapsed_micros(now, flight.entered),
        };
        self.recorder.record(Some(flight.request), event);
        Ok(())
    }

    pub(super) fn finish(
        &mut self,
        key: FlightKey,
        end: FlightEnd,
        reply: oneshot::Sender<Departure>,
    ) {
        let Some(flight) = self.end(key, end) else {
            return;
        };
        let departure = Departure {
            allowance_left: flight.allowance.left(),
            report: self.report(&flight.operation),
        };
        let _ = reply.send(departure);
    }

    pub(super) fn abandon(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.get(key) else {
            return;
        };
        let end = match flight.phase {
            FlightPhase::Dispatched => FlightEnd::Lost(ErrorKind::AnswerLost),
            FlightPhase::Queued | FlightPhase::Admitted => {
                FlightEnd::Withdrawn(ErrorKind::Cancelled)
            }
        };
        let elapsed_us = elapsed_micros(self.clock.now(), flight.entered);
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
        let waited = flight.below.total(now);
        self.admission.record_downstream_wait(flight.call, waited);
        let finish = admission_end(&end, flight.below.may_have_failed());
        self.admission.finish(flight.call, finish, now);
        if let Some(record) = flight.record {
            self.end_record(record, end, now);
        }
        Some(flight)
    }

    pub(super) fn end_record(&mut self, record: RecordKey, end: FlightEnd, now: Instant) {
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
}

fn admission_end(end: &FlightEnd, below: bool) -> Finish {
    match end {
        FlightEnd::Answered(answer) if answer.status.is_server_error() && below => {
            Finish::FailedDownstream
        }
        FlightEnd::Lost(_) if below => Finish::FailedDownstream,
        FlightEnd::Answered(answer) if answer.status.is_server_error() => Finish::Failed,
        FlightEnd::Answered(_) => Finish::Served,
        FlightEnd::Lost(_) => Finish::Failed,
        FlightEnd::Withdrawn(_) => Finish::Cancelled,
    }
}
