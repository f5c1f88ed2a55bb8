//! Requests that wait for a slot of the local target, and their refusal if they are to be served elsewhere.

use std::time::Instant;

use coltsfootport_core::mesh::{Refusal, Ticket};
use tokio::sync::oneshot;

use super::{AcquireSlotRequest, Controller, SlotGrant, SlotRefusal};
use crate::mesh::call::AttemptToken;

/// A request that waits for a slot, and the channel for its reply.
#[derive(Debug)]
pub(super) struct Waiter {
    pub req: AcquireSlotRequest,
    pub reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
    /// When it arrived.
    pub since: Instant,
}

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
            self.refuse_queued(*ticket, Refusal::Stopping);
        }
        tickets.len() + self.refuse_isolated(is_refused)
    }

    /// Refuses queued requests for instances that are draining or removed. Their entry nodes select another instance.
    pub(super) fn refuse_waiters_of_stopped(&mut self) {
        self.refuse_waiting(|controller, req| controller.is_draining_or_removed(&req.instance));
        self.recheck_isolated(self.clock.now());
    }

    /// Refuses the request with this ticket, which the gate no longer holds.
    pub(super) fn refuse_queued(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(waiter) = self.waiting.remove(&ticket) {
            self.refuse_waiter(waiter, refusal);
        }
    }

    /// Refuses a request that has left its queue, and logs it.
    pub(super) fn refuse_waiter(&self, waiter: Waiter, refusal: Refusal) {
        self.log_left_queue(&waiter, refusal.as_str(), self.clock.now());
        let refused = self.slot_refusal(refusal, None);
        drop(waiter.reply.send(Err(refused)));
    }

    /// Removes queued requests that no one waits for any more.
    pub(super) fn remove_abandoned_waiters(&mut self) {
        let now = self.clock.now();
        let Self { gate, journal, .. } = self;
        self.waiting.retain(|ticket, waiter| {
            let abandoned = waiter.reply.is_closed();
            if abandoned {
                let wait = now.saturating_duration_since(waiter.since);
                journal.left_queue(&waiter.req.id, "sender-left", wait);
                gate.cancel(*ticket);
            }
            !abandoned
        });
        self.prune_isolated();
    }

    pub(super) fn log_left_queue(&self, waiter: &Waiter, outcome: &str, now: Instant) {
        let wait = now.saturating_duration_since(waiter.since);
        self.journal.left_queue(&waiter.req.id, outcome, wait);
    }
}
