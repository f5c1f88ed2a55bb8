//! Requests that run at the target beside this node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Admission, MemberState, Refusal, Ticket};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::runs::Run;
use super::state::Waiter;
use super::{AfterRun, Controller, EnterAsk, Granted, LeftSlot, NotGranted, SlotGuard};
use crate::mesh::call::Report;

/// Ids of ended instances that are remembered, so that a late request for one is refused and not sent to its successor.
const REMEMBERED_IDS: usize = 64;

impl Controller {
    /// Gives a request a slot, lets it wait, or refuses it.
    pub(super) fn enter(
        &mut self,
        ask: EnterAsk,
        reply: oneshot::Sender<Result<Granted, NotGranted>>,
    ) {
        let now = self.clock.now();
        if let Some(id) = &ask.cut_off {
            self.hear_cut_off(id, now);
        }
        if self.has_left(&ask.instance) {
            drop(reply.send(Err(self.not_granted(Refusal::Stopping, None))));
            return;
        }
        if ask.deadline <= now {
            drop(reply.send(Err(self.not_granted(Refusal::ExpiredUnsent, None))));
            return;
        }
        self.enter_by_standing(Waiter { ask, reply }, now);
    }

    /// Gives a request that need not be isolated a slot, lets it wait, or refuses it; the ticket where it is not refused.
    pub(super) fn enter_gate(&mut self, waiter: Waiter, now: Instant) -> Option<Ticket> {
        let Waiter { ask, reply } = waiter;
        let waiting = coltsfootport_core::mesh::SlotRequest {
            rank: ask.rank,
            shed_order: self.shed_order(ask.rank),
            admitted: ask.admitted,
            kind: ask.kind,
            inner: ask.inner,
            began: ask.began,
            deadline: ask.deadline,
            queue_timeout: ask.queue_timeout,
        };
        if !self.drain_admits_peer(&waiting, now) {
            drop(reply.send(Err(self.not_granted(Refusal::Stopping, None))));
            return None;
        }
        match self.gate.admit(waiting, now) {
            Admission::Dispatched(ticket) => {
                self.grant(ticket, Waiter { ask, reply }, now);
                Some(ticket)
            }
            Admission::Queued(ticket) => {
                self.waiting.insert(ticket, Waiter { ask, reply });
                Some(ticket)
            }
            Admission::Refused { retry_after } => {
                let busy = self.not_granted(Refusal::Busy, Some(retry_after));
                drop(reply.send(Err(busy)));
                None
            }
            Admission::DeadlineUnreachable => {
                let refused = self.not_granted(Refusal::ExpiredUnsent, None);
                drop(reply.send(Err(refused)));
                None
            }
        }
    }

    /// A request has left its slot.
    pub(super) fn leave(
        &mut self,
        ticket: Ticket,
        left: LeftSlot,
        reply: Option<oneshot::Sender<AfterRun>>,
    ) {
        let now = self.clock.now();
        self.gate.release(ticket, left.held, now);
        let standing = self.run_ended(ticket, left.end, now);
        let run = self.runs.remove(ticket);
        self.leave_isolation(ticket, now);
        self.pump(now);
        let Some(reply) = reply else {
            return;
        };
        let mut report = self.report();
        if let Some(run) = run {
            report.finding = self.finding_after(left.end, run.fingerprint, now);
            report.downstream = run.downstream;
        }
        drop(reply.send(AfterRun { report, standing }));
    }

    /// Gives free slots to those who wait.
    pub(super) fn pump(&mut self, now: Instant) {
        for ticket in self.gate.expire(now) {
            self.refuse_waiter(ticket, Refusal::ExpiredUnsent);
        }
        while let Some(ticket) = self.gate.dispatch_next() {
            match self.waiting.remove(&ticket) {
                Some(waiter) if !waiter.reply.is_closed() => self.grant(ticket, waiter, now),
                _ => self.gate.release_unused(ticket),
            }
        }
    }

    /// Takes those out of the queue whose callers have left.
    pub(super) fn forget_waiters(&mut self) {
        let gate = &mut self.gate;
        self.waiting.retain(|ticket, waiter| {
            let gone = waiter.reply.is_closed();
            if gone {
                gate.cancel(*ticket);
            }
            !gone
        });
        self.forget_isolated();
    }

    /// Refuses everyone who waits for an instance that takes nothing new; their entries choose another one.
    pub(super) fn flush_waiters(&mut self) {
        let tickets: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, waiter)| self.has_left(&waiter.ask.instance))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.gate.cancel(ticket);
            self.refuse_waiter(ticket, Refusal::Stopping);
        }
        self.review_isolated(self.clock.now());
    }

    /// Takes in that an instance is gone for good.
    pub(super) fn note_gone(&mut self, id: SmolStr) {
        if self.left.len() >= REMEMBERED_IDS {
            self.left.pop_front();
        }
        self.left.push_back(id);
    }

    pub(super) fn has_left(&self, instance: &str) -> bool {
        match self.fleet.member_state(instance) {
            Some(member_state) => member_state == MemberState::Draining,
            // Not in the list: either gone, or so new that the list has not told yet.
            None => self.left.iter().any(|id| id == instance),
        }
    }

    fn grant(&mut self, ticket: Ticket, waiter: Waiter, now: Instant) {
        let run = Run {
            id: waiter.ask.id,
            fingerprint: waiter.ask.fingerprint,
            instance: waiter.ask.instance,
            rank: waiter.ask.rank,
            workspace: waiter.ask.workspace,
            admitted: waiter.ask.admitted,
            began: waiter.ask.began,
            deadline: waiter.ask.deadline,
            downstream: Vec::new(),
        };
        self.runs.insert(ticket, run);
        let guard = SlotGuard {
            ticket,
            since: now,
            clock: Arc::clone(&self.clock),
            tx: self.tx.clone(),
            left: false,
        };
        drop(waiter.reply.send(Ok(Granted { guard })));
    }

    /// How many ranks are shed before this one.
    fn shed_order(&self, rank: u8) -> usize {
        let config = self.config.as_ref();
        config.map_or(0, |config| config.shed_order(rank))
    }

    fn refuse_waiter(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(waiter) = self.waiting.remove(&ticket) {
            let refused = self.not_granted(refusal, None);
            drop(waiter.reply.send(Err(refused)));
        }
    }

    pub(super) fn not_granted(
        &self,
        refusal: Refusal,
        retry_after: Option<Duration>,
    ) -> NotGranted {
        NotGranted {
            refusal,
            retry_after,
            report: self.report(),
        }
    }

    fn report(&self) -> Report {
        Report {
            busy: self.gate.in_flight(),
            level: self.gate.level(),
            stopping: self.drain.is_some(),
            cut_off: !self.publisher_sound,
            downstream: Vec::new(),
            finding: None,
        }
    }
}
