//! Dispatch of requests to the local target: queueing, slots and their release.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Admission, MemberState, OpenCalls, Refusal, Ticket};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::runs::Run;
use super::waiters::Waiter;
use super::{
    AcquireSlotRequest, Controller, RunOutcome, SlotGrant, SlotGuard, SlotRefusal, SlotRelease,
};
use crate::mesh::call::{Report, RunEnd};

/// Number of ids of removed instances that are remembered, so that a late request for one of them is refused instead of
/// being run by its successor.
const MAX_REMOVED_INSTANCES: usize = 64;

impl Controller {
    /// Grants a request a slot, queues it or refuses it.
    pub(super) fn acquire_slot(
        &mut self,
        req: AcquireSlotRequest,
        reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
    ) {
        let now = self.clock.now();
        if let Some(id) = &req.cut_off {
            self.note_cut_off(id, now);
        }
        if self.is_draining_or_removed(&req.instance) {
            drop(reply.send(Err(self.slot_refusal(Refusal::Stopping, None))));
            return;
        }
        if req.deadline <= now {
            drop(reply.send(Err(self.slot_refusal(Refusal::ExpiredUnsent, None))));
            return;
        }
        let since = now;
        self.enter_by_suspicion(Waiter { req, reply, since }, now);
    }

    /// Grants a request a slot, queues it or refuses it, without regard to its suspicion level. Returns its ticket
    /// unless it was refused.
    pub(super) fn enter_gate(&mut self, waiter: Waiter, now: Instant) -> Option<Ticket> {
        let req = &waiter.req;
        let waiting = coltsfootport_core::mesh::SlotRequest {
            rank: req.rank,
            shed_order: self.shed_order(req.rank),
            admitted: req.admitted_share,
            kind: req.kind,
            inner: req.inner,
            began: req.began,
            deadline: req.deadline,
            queue_timeout: req.queue_timeout,
        };
        if !self.drain_admits_peer(&waiting, now) {
            drop(
                waiter
                    .reply
                    .send(Err(self.slot_refusal(Refusal::Stopping, None))),
            );
            return None;
        }
        match self.gate.admit(waiting, now) {
            Admission::Dispatched(ticket) => {
                self.grant(ticket, waiter, now);
                Some(ticket)
            }
            Admission::Queued(ticket) => {
                self.waiting.insert(ticket, waiter);
                Some(ticket)
            }
            Admission::Refused { retry_after } => {
                let busy = self.slot_refusal(Refusal::Busy, Some(retry_after));
                drop(waiter.reply.send(Err(busy)));
                None
            }
            Admission::DeadlineUnreachable => {
                let refused = self.slot_refusal(Refusal::ExpiredUnsent, None);
                drop(waiter.reply.send(Err(refused)));
                None
            }
        }
    }

    /// Releases the slot of a request, starts queued requests and replies with the outcome of the run.
    pub(super) fn release_slot(
        &mut self,
        ticket: Ticket,
        release: SlotRelease,
        reply: Option<oneshot::Sender<RunOutcome>>,
    ) {
        let now = self.clock.now();
        self.release_in_gate(ticket, &release, now);
        let standing = self.record_run_end(ticket, release.end, now);
        let run = match release.answering {
            true => self.runs.get(ticket).cloned(),
            false => self.runs.remove(ticket),
        };
        let work = run.as_ref().map(|run| self.record_work(run, &release, now));
        if let (Some(run), Some(announced)) = (&run, release.announcement) {
            self.apply_announcement(&run.instance, announced, now);
        }
        if !release.answering {
            self.end_isolation(ticket, now);
        }
        self.start_queued(now);
        let Some(reply) = reply else {
            return;
        };
        let mut report = self.report();
        if let Some(run) = run {
            report.finding = self.finding_after_run(release.end, run.fingerprint, now);
            report.service_time = self.gate.mean_work(run.kind).unwrap_or_default();
            report.held = work.unwrap_or_default();
            report.downstream = run.downstream;
        }
        drop(reply.send(RunOutcome { report, standing }));
    }

    /// Returns how long a run held its slot without waiting for calls of its own, and records it if the target answered.
    fn record_work(&mut self, run: &Run, release: &SlotRelease, now: Instant) -> Duration {
        let work = release.held.saturating_sub(run.open_calls.waited(now));
        if release.end != RunEnd::Unanswered {
            self.gate.record_work(run.kind, work);
        }
        work
    }

    fn release_in_gate(&mut self, ticket: Ticket, release: &SlotRelease, now: Instant) {
        let SlotRelease { held, waited, .. } = *release;
        match release.end {
            _ if release.answering => self.gate.release_answering(ticket, held, now),
            RunEnd::Unanswered => self.gate.release_unanswered(ticket, held, waited, now),
            RunEnd::Answered | RunEnd::Other | RunEnd::Crashed(_) => {
                self.gate.release(ticket, held, now)
            }
        }
        self.follow_silence();
    }

    /// Expires queued requests that cannot end in time, and starts queued requests in free slots.
    pub(super) fn start_queued(&mut self, now: Instant) {
        self.refuse_late_waiters(now);
        for ticket in self.gate.expire(now) {
            self.refuse_queued(ticket, Refusal::ExpiredUnsent);
        }
        while let Some(ticket) = self.gate.dispatch_next() {
            match self.waiting.remove(&ticket) {
                Some(waiter) if !waiter.reply.is_closed() => self.grant(ticket, waiter, now),
                _ => self.gate.release_unused(ticket),
            }
        }
    }

    /// Remembers the id of a removed instance.
    pub(super) fn remember_removed(&mut self, id: SmolStr) {
        if self.removed_instances.len() >= MAX_REMOVED_INSTANCES {
            self.removed_instances.pop_front();
        }
        self.removed_instances.push_back(id);
    }

    /// Whether an instance is draining or was removed, and so accepts no new requests.
    pub(super) fn is_draining_or_removed(&self, instance: &str) -> bool {
        match self.fleet.member_state(instance) {
            Some(member_state) => member_state == MemberState::Draining,
            // Not in the list: either removed, or so new that the list does not contain it yet.
            None => self.removed_instances.iter().any(|id| id == instance),
        }
    }

    fn grant(&mut self, ticket: Ticket, waiter: Waiter, now: Instant) {
        self.log_left_queue(&waiter, "granted", now);
        let run = Run {
            id: waiter.req.id,
            fingerprint: waiter.req.fingerprint,
            attempt: waiter.req.attempt,
            instance: waiter.req.instance,
            rank: waiter.req.rank,
            workspace: waiter.req.workspace,
            admitted: waiter.req.admitted_share,
            began: waiter.req.began,
            deadline: waiter.req.deadline,
            kind: waiter.req.kind,
            downstream: Vec::new(),
            open_calls: OpenCalls::default(),
        };
        self.runs.insert(ticket, run);
        let guard = SlotGuard {
            ticket,
            since: now,
            clock: Arc::clone(&self.clock),
            tx: self.tx.clone(),
            sent_at: None,
            released: false,
        };
        // Responses may be missing because the idle connections to the target are broken.
        let new_connection = self.gate.is_silent();
        drop(waiter.reply.send(Ok(SlotGrant {
            guard,
            new_connection,
        })));
    }

    /// Number of ranks that are shed before this one.
    fn shed_order(&self, rank: u8) -> usize {
        let config = self.config.as_ref();
        config.map_or(0, |config| config.shed_order(rank))
    }

    pub(super) fn slot_refusal(
        &self,
        refusal: Refusal,
        retry_after: Option<Duration>,
    ) -> SlotRefusal {
        SlotRefusal {
            refusal,
            retry_after,
            report: self.report(),
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            busy: self.gate.reported_load(),
            level: self.gate.level(),
            stopping: self.drain.is_some(),
            cut_off: !self.publisher_healthy,
            service_time: Duration::ZERO,
            held: Duration::ZERO,
            downstream: Vec::new(),
            finding: None,
        }
    }
}
