//! Release of slots, and what a gate learns from it.

use std::time::{Duration, Instant};

use super::{Running, TargetGate, Ticket};
use crate::mesh::RequestKind;

impl TargetGate {
    /// Releases the slot of a request that the target responded to after it held the slot for `held`, and records its
    /// service time.
    pub fn release(&mut self, ticket: Ticket, held: Duration, now: Instant) {
        self.silence.record_response(now);
        self.record_end(ticket, held, now);
    }

    /// Like [`TargetGate::release`], for a request whose answer the target is still sending. Its end is recorded by
    /// [`TargetGate::record_completion`].
    pub fn release_answering(&mut self, ticket: Ticket, held: Duration, now: Instant) {
        self.silence.record_response(now);
        self.record_service(ticket, held, now);
    }

    /// Records that the answer to a request of a kind has ended, `took` after the request was dispatched.
    pub fn record_completion(&mut self, kind: RequestKind, took: Duration) {
        self.completion_times.record(kind, took.as_secs_f64());
    }

    /// Like [`TargetGate::release`], for a request without a response. `waited` is the time since it was sent, unless
    /// it was not sent completely.
    pub fn release_unanswered(
        &mut self,
        ticket: Ticket,
        held: Duration,
        waited: Option<Duration>,
        now: Instant,
    ) {
        let running = self.running.get(&ticket);
        if let (Some(running), Some(waited)) = (running, waited) {
            let expected = self.service_times.expected(running.kind);
            let expected = Duration::from_secs_f64(expected);
            self.silence.record_unanswered(waited, expected, now);
        }
        self.record_end(ticket, held, now);
    }

    /// Releases the slot of a dispatched request that did not run, without recording a service time.
    pub fn release_unused(&mut self, ticket: Ticket) {
        self.running.remove(&ticket);
        self.silence.put_back();
        if let Some(rate) = &mut self.rate {
            rate.put_back();
        }
    }

    /// Records how long a run held its slot without waiting for calls of its own.
    pub fn record_work(&mut self, kind: RequestKind, work: Duration) {
        self.work_times.record(kind, work.as_secs_f64());
    }

    /// Mean time for which runs of a kind hold a slot without waiting for calls of their own; `None` without samples.
    pub fn mean_work(&self, kind: RequestKind) -> Option<Duration> {
        self.work_times.mean(kind).map(Duration::from_secs_f64)
    }

    fn record_end(&mut self, ticket: Ticket, held: Duration, now: Instant) {
        if let Some(kind) = self.record_service(ticket, held, now) {
            self.record_completion(kind, held);
        }
    }

    fn record_service(
        &mut self,
        ticket: Ticket,
        held: Duration,
        now: Instant,
    ) -> Option<RequestKind> {
        let Running { kind, nearly_full } = self.running.remove(&ticket)?;
        let held = held.as_secs_f64();
        self.service_times.record(kind, held);
        self.headroom.record(kind, held, nearly_full, now);
        Some(kind)
    }
}
