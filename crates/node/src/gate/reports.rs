//! State that the gate reports to callers, peers and operators.

use std::sync::Arc;
use std::time::Duration;

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::once::{Refusal, Token, Try};
use coltsfootport_core::timeline::Event;
use rand::Rng;
use smol_str::SmolStr;

use super::{Gate, GateStatus};
use crate::data::{Answer, HostReport, Refused};

impl Gate {
    pub(super) fn report(&mut self, operation: &SmolStr) -> HostReport {
        let now = self.clock.now();
        let downstream = self
            .downstream_levels
            .level(&ServiceName(operation.clone()), now);
        HostReport {
            node: self.node.clone(),
            incarnation: self.incarnation,
            tick: self.once.tick(now),
            state: self.lifecycle.node_state(),
            in_flight: self.admission.in_flight(),
            queued: self.admission.queued() as u32,
            limit: self.admission.limit(),
            level: self.admission.level().min(downstream),
            revision: self.published.borrow().revision,
        }
    }

    pub(super) fn status(&self) -> GateStatus {
        GateStatus {
            in_flight: self.admission.in_flight(),
            queued: self.admission.queued() as u32,
            limit: self.admission.limit(),
            level: self.admission.level(),
            records: self.once.len(),
            phase: self.lifecycle.phase(),
        }
    }

    /// Creates a refusal with an estimate of when capacity will be available again.
    ///
    /// The estimate is the time to serve the queued calls, multiplied by a random factor so that refused callers don't
    /// all retry at the same time.
    pub(super) fn refusal(&mut self, kind: ErrorKind) -> Refused {
        let now = self.clock.now();
        let turns = self.admission.queued() as f64 / f64::from(self.admission.limit().max(1));
        let wait = self
            .admission
            .service_time(now)
            .mul_f64(turns + 1.0)
            .max(MIN_RETRY_AFTER);
        let retry_after = wait.mul_f64(self.rng.random_range(1.0..MAX_JITTER_FACTOR));
        Refused::new(kind, retry_after.min(MAX_RETRY_AFTER))
    }

    pub(super) fn refuse(&mut self, token: &Token, up_to: Try) -> Refusal<Arc<Answer>> {
        self.recorder.record(
            None,
            Event::TokenBurned {
                attempt: up_to.0 as u16,
            },
        );
        self.once.refuse(token, up_to, self.clock.now())
    }
}

const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Upper bound of the random factor applied to the estimated wait.
const MAX_JITTER_FACTOR: f64 = 3.0;
