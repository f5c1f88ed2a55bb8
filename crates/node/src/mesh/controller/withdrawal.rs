//! Refusal of requests that wait for the local target and are to be served elsewhere.

use coltsfootport_core::mesh::{Refusal, Ticket};

use super::{AcquireSlotRequest, Controller};
use crate::mesh::call::AttemptToken;

impl Controller {
    /// Refuses a request that its stopping entry node takes back, unless it has started. Returns whether it waited or runs
    /// here.
    pub(super) fn withdraw(&mut self, attempt: AttemptToken) -> bool {
        let refused = self.refuse_waiting(|_, req| req.attempt == attempt);
        refused > 0 || self.runs.iter().any(|run| run.attempt == attempt)
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
