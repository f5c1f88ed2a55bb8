//! What a target's own calls draw from the call that they serve.

use coltsfootport_core::admission::Level;
use coltsfootport_core::id::ServiceName;
use tokio::sync::oneshot;

use super::{ContextHandle, FlightKey, Gate, Parent};

impl Gate {
    pub(super) fn parent(&self, handle: ContextHandle) -> Option<Parent> {
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

    pub(super) fn grant(&mut self, key: FlightKey, reply: oneshot::Sender<u16>) {
        let Some(flight) = self.flights.get_mut(key) else {
            let _ = reply.send(0);
            return;
        };
        let granted = flight.allowance.grant();
        if reply.send(granted).is_err() {
            let _ = flight.allowance.reclaim(granted, granted);
        }
    }

    pub(super) fn give_back(&mut self, key: FlightKey, granted: u16, left: u16) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        if let Err(breach) = flight.allowance.reclaim(granted, left) {
            self.recorder.report_breach(breach);
        }
    }

    pub(super) fn level_below(&mut self, key: FlightKey, level: Level) {
        let Some(flight) = self.flights.get(key) else {
            return;
        };
        let operation = ServiceName(flight.operation.clone());
        self.below.record(&operation, level, self.clock.now());
    }
}
