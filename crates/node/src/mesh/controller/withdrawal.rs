//! Refusal of requests that wait for the local target and are to be served elsewhere.

use coltsfootport_core::mesh::{Refusal, Ticket};
use coltsfootport_core::quarantine::Fingerprint;
use smol_str::SmolStr;

use super::{AcquireSlotRequest, Controller};

/// Names a request that its stopping entry node takes back from a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// Request id; empty if the caller sent none.
    pub id: SmolStr,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}

impl Withdrawal {
    /// Whether it names the request with this id and fingerprint.
    pub fn names(&self, id: &str, fingerprint: Fingerprint) -> bool {
        self.id == id && self.fingerprint == fingerprint
    }
}

impl Controller {
    /// Refuses a request that its entry node takes back, unless it has started. Returns whether it waited or runs here.
    pub(super) fn withdraw(&mut self, withdrawal: &Withdrawal) -> bool {
        let refused = self.refuse_waiting(|_, req| withdrawal.names(&req.id, req.fingerprint));
        let mut runs = self.runs.iter();
        refused > 0 || runs.any(|run| withdrawal.names(&run.id, run.fingerprint))
    }

    /// Refuses all waiting requests for which `is_refused` holds, so that their entry nodes select another instance.
    /// Returns their number.
    pub(super) fn refuse_waiting<F>(&mut self, is_refused: F) -> usize
    where
        F: Fn(&Self, &AcquireSlotRequest) -> bool,
    {
        let tickets: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, waiter)| is_refused(self, &waiter.req))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in &tickets {
            self.gate.cancel(*ticket);
            self.refuse_waiter(*ticket, Refusal::Stopping);
        }
        tickets.len() + self.refuse_isolated(is_refused)
    }
}
