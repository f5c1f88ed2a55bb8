//! Context and retry allowance that downstream calls take from the call in flight that caused them.

use coltsfootport_core::admission::Level;
use coltsfootport_core::id::ServiceName;
use tokio::sync::oneshot;

use super::{ContextHandle, Gate, InFlightKey, Parent};

impl Gate {
    pub(super) fn parent(&self, handle: ContextHandle) -> Option<Parent> {
        if !handle.is_issued_by(self.incarnation) {
            return None;
        }
        let call = self.calls.get(handle.key)?;
        Some(Parent {
            key: handle.key,
            request: call.request,
            class: call.class,
            class_name: call.class_name.clone(),
            deadline: call.deadline,
            depth: call.depth.saturating_add(1),
        })
    }

    pub(super) fn grant_allowance(&mut self, key: InFlightKey, reply: oneshot::Sender<u16>) {
        let Some(call) = self.calls.get_mut(key) else {
            let _ = reply.send(0);
            return;
        };
        let granted = call.allowance.grant();
        if reply.send(granted).is_err() {
            let _ = call.allowance.reclaim(granted, granted);
        }
    }

    pub(super) fn reclaim_allowance(&mut self, key: InFlightKey, granted: u16, left: u16) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if let Err(breach) = call.allowance.reclaim(granted, left) {
            self.recorder.report_breach(breach);
        }
    }

    pub(super) fn record_downstream_level(&mut self, key: InFlightKey, level: Level) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let operation = ServiceName(call.operation.clone());
        self.downstream_levels
            .record(&operation, level, self.clock.now());
    }
}
