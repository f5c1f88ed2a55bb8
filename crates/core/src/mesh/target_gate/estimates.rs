//! Estimates of waits and latencies at a target.

use std::time::{Duration, Instant};

use super::{SlotRequest, TargetGate, Ticket};
use crate::mesh::{Backlog, RequestKind};

/// Share of a request's remaining time within which the queue should drain. Most of that time is needed for its own
/// run, and it may queue at several targets on its way.
const DRAIN_SHARE: f64 = 0.25;

/// Bounds of the drain time in seconds: a shorter one would react to every fluctuation, a longer one would let queues
/// persist.
const DRAIN_RANGE: (f64, f64) = (0.2, 2.0);

/// Queue length from which a rate limit counts in the overload level. One or two requests queue at a limited target
/// even if other instances have room for all others.
const QUEUED_AT_LIMIT: usize = 3;

impl TargetGate {
    /// Expected time until the answer to a request that is admitted now has ended: its wait for a slot plus the mean
    /// time of its kind.
    pub fn expected_completion(&self, request: &SlotRequest) -> Duration {
        let is_limited = self.rate.is_some_and(|rate| !rate.wait(0).is_zero());
        let may_start = !is_limited && self.silence.wait().is_zero();
        let is_free = self.has_free_slot() && self.queue.is_empty() && may_start;
        let wait = match is_free {
            true => Duration::ZERO,
            false => self.expected_wait(request),
        };
        wait + self.mean_completion(request.kind)
    }

    /// Mean time from the dispatch of requests of a kind to the end of their answers; zero without samples.
    pub fn mean_completion(&self, kind: RequestKind) -> Duration {
        let mean = self.completion_times.mean(kind);
        mean.map_or(Duration::ZERO, Duration::from_secs_f64)
    }

    /// Expected time until a request that is admitted now gets a slot, from the requests running and queued ahead of
    /// it.
    pub(super) fn expected_wait(&self, request: &SlotRequest) -> Duration {
        let order = (
            request.rank,
            !request.inner,
            request.began,
            Ticket(u64::MAX),
        );
        let ahead = self
            .queue
            .partition_point(|other| other.dispatch_order() < order);
        let running = self.running.values();
        let turnover = running
            .map(|run| self.service_times.expected(run.kind))
            .sum::<f64>()
            / f64::from(self.usable);
        let queued_work: f64 = self.queue[..ahead].iter().map(|queued| queued.work).sum();
        let wait = Duration::from_secs_f64((queued_work + turnover) / f64::from(self.usable));
        let wait = wait.max(self.silence.wait());
        self.rate.map_or(wait, |rate| rate.wait(ahead).max(wait))
    }

    /// Latest time at which a request may be dispatched, from the mean service time of its kind.
    pub(super) fn latest_start(&self, request: &SlotRequest) -> Instant {
        let mean = self.service_times.mean(request.kind).unwrap_or_default();
        let needed = Duration::from_secs_f64(mean * self.cfg.start_share);
        let latest = request.deadline.checked_sub(needed);
        latest.unwrap_or(request.deadline)
    }

    /// Slots that can be in use on average. A rate limit lowers them while enough requests queue for it.
    pub(super) fn effective_slots(&self) -> f64 {
        let slots = f64::from(self.usable);
        let work_times = match self.cfg.level_without_waits {
            true => &self.work_times,
            false => &self.service_times,
        };
        let limit = self.rate.filter(|_| self.queue.len() >= QUEUED_AT_LIMIT);
        limit.map_or(slots, |rate| {
            rate.slots_in_use(work_times.overall()).min(slots)
        })
    }

    /// Load that the queue adds to the arrivals if each queued request is to be dispatched within its drain time.
    pub(super) fn backlog(&self, slots: f64) -> Backlog {
        let mut backlog = Backlog::default();
        for queued in &self.queue {
            let time = queued.request.deadline - queued.since;
            let drain_time = time.as_secs_f64() * DRAIN_SHARE;
            let load = queued.work / drain_time.clamp(DRAIN_RANGE.0, DRAIN_RANGE.1) / slots;
            backlog.add(queued.request.shed_order, load);
        }
        backlog
    }
}
