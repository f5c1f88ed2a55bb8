//! Admission to the slots of a target, and the queue in front of them.

mod config;
mod estimates;
mod release;
mod request;

use std::time::Instant;

pub use self::config::GateConfig;
pub use self::request::{Admission, SlotRequest, Ticket};
use super::headroom::Headroom;
use crate::collections::Map;
use crate::mesh::{LevelControl, RateLimit, RequestKind, ServiceTimes, TargetSilence};

/// Concurrency slots and queue of one target.
#[derive(Clone, Debug)]
pub struct TargetGate {
    cfg: GateConfig,
    slots: u32,
    /// Slots in use at most; fewer than `slots` if the target slows down near full concurrency.
    usable: u32,
    running: Map<Ticket, Running>,
    queue: Vec<Queued>,
    next_ticket: u64,
    service_times: ServiceTimes,
    /// Times until the whole answer was passed on. A long answer gives its slot back when its head has arrived.
    completion_times: ServiceTimes,
    /// Service times without the time during which runs wait for calls of their own.
    work_times: ServiceTimes,
    headroom: Headroom,
    level: LevelControl,
    /// Limit on the rate of starts, while the target names one.
    rate: Option<RateLimit>,
    /// Whether the target has stopped responding.
    silence: TargetSilence,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: RequestKind,
    /// Whether it was dispatched with nearly all slots in use.
    nearly_full: bool,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    ticket: Ticket,
    request: SlotRequest,
    since: Instant,
    /// When it expires if it is still queued.
    expires: Instant,
    /// Expected service time, in seconds.
    work: f64,
}

impl Queued {
    /// Sort key: rank, then calls of runs in progress, then the age of the external request.
    ///
    /// A request that makes several calls in sequence queues here for each of them. Ordered by the arrival of each
    /// call, all requests in progress would take turns and all finish late; ordered by age, the most advanced ones
    /// finish first.
    fn dispatch_order(&self) -> (u8, bool, Instant, Ticket) {
        let req = &self.request;
        (req.rank, !req.inner, req.began, self.ticket)
    }
}

impl TargetGate {
    /// Creates a gate with an empty queue and all slots free.
    pub fn new(cfg: GateConfig, now: Instant) -> Self {
        Self {
            slots: cfg.slots,
            usable: cfg.slots,
            running: Map::default(),
            queue: Vec::new(),
            next_ticket: 0,
            service_times: ServiceTimes::default(),
            completion_times: ServiceTimes::default(),
            work_times: ServiceTimes::default(),
            headroom: Headroom::default(),
            level: LevelControl::new(cfg.level, now),
            rate: None,
            silence: TargetSilence::default(),
            cfg,
        }
    }

    /// Replaces the configuration. A published number of slots takes precedence over the configured one.
    pub fn set_config(&mut self, cfg: GateConfig) {
        if self.slots == self.cfg.slots {
            self.slots = cfg.slots;
        }
        self.level.set_config(cfg.level);
        self.cfg = cfg;
    }

    /// Sets the number of ranks that requests can have.
    pub fn set_ranks(&mut self, ranks: usize) {
        self.level.set_ranks(ranks);
    }

    /// Sets the published number of slots of the target.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.usable = self.slots;
    }

    /// Sets the rate limit in requests per second that the target names. Returns whether it has changed.
    pub fn set_rate_limit(&mut self, per_second: Option<f64>, now: Instant) -> bool {
        match (&mut self.rate, per_second) {
            (Some(rate), Some(per_second)) => {
                let before = *rate;
                rate.set_rate(per_second, now);
                !rate.has_same_limit(&before)
            }
            (rate, per_second) => {
                let changed = rate.is_some() != per_second.is_some();
                *rate = per_second.map(|per_second| RateLimit::new(per_second, now));
                changed
            }
        }
    }

    /// Dispatches, queues or refuses a request.
    pub fn admit(&mut self, request: SlotRequest, now: Instant) -> Admission {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let work = self.service_times.expected(request.kind);
        let level_work = match self.cfg.level_without_waits {
            true => self.work_times.mean(request.kind).unwrap_or(work),
            false => work,
        };
        self.level
            .record_arrival(request.shed_order, level_work, request.admitted);
        if self.latest_start(&request) <= now {
            return Admission::DeadlineUnreachable;
        }
        self.refill(now);
        if self.queue.is_empty() && self.take_start() {
            self.start(ticket, request.kind);
            return Admission::Dispatched(ticket);
        }
        let wait = self.expected_wait(&request);
        let expires = self
            .cfg
            .limits
            .wait_until(request.deadline, request.inner, now);
        let left = expires.saturating_duration_since(now);
        if wait >= request.queue_timeout.min(left) || self.queue.len() >= self.cfg.max_queued {
            return Admission::Refused { retry_after: wait };
        }
        let queued = Queued {
            ticket,
            request,
            since: now,
            expires,
            work,
        };
        let index = self
            .queue
            .partition_point(|other| other.dispatch_order() < queued.dispatch_order());
        self.queue.insert(index, queued);
        Admission::Queued(ticket)
    }

    /// Records a sign, other than a response, that the target's process reads from its connections.
    pub fn record_activity(&mut self, now: Instant) {
        self.silence.record_response(now);
    }

    /// Records that another process runs at the address of the target.
    pub fn reset_for_new_process(&mut self, now: Instant) {
        self.set_rate_limit(None, now);
        self.silence.record_response(now);
    }

    /// Whether the target has stopped responding.
    pub fn is_silent(&self) -> bool {
        self.silence.is_silent()
    }

    /// Removes a request from the queue. Returns `false` if it was not queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.ticket != ticket);
        self.queue.len() < before
    }

    /// Dispatches the first queued request if a slot is free. To be called until it returns `None`.
    pub fn dispatch_next(&mut self) -> Option<Ticket> {
        if self.queue.is_empty() || !self.take_start() {
            return None;
        }
        let queued = self.queue.remove(0);
        self.start(queued.ticket, queued.request.kind);
        Some(queued.ticket)
    }

    /// Removes and returns the queued requests that have expired or can no longer finish before their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        self.refill(now);
        let mut expired = Vec::new();
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|queued| {
            let is_expired = self.latest_start(&queued.request).min(queued.expires) <= now;
            if is_expired {
                expired.push(queued.ticket);
            }
            !is_expired
        });
        self.queue = queue;
        expired
    }

    /// Recomputes the slot limit and the overload level; called periodically.
    pub fn update_level(&mut self, now: Instant) {
        self.usable = match self.cfg.headroom {
            true => self.headroom.limit(self.slots, now),
            false => self.slots,
        };
        let slots = self.effective_slots();
        self.level.update(slots, &self.backlog(slots), now);
    }

    /// The overload level; 0 means no overload.
    pub fn level(&self) -> f64 {
        self.level.level()
    }

    /// Ratio of the arriving work to the work that the slots can do.
    pub fn load(&self) -> f64 {
        self.level.load()
    }

    /// Number of requests running or queued.
    pub fn in_flight(&self) -> u32 {
        self.running() + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Load to report to the senders of requests, in requests at the target. A silent target and one near its rate
    /// limit count as full, although most of their slots are free.
    pub fn reported_load(&self) -> u32 {
        if self.is_silent() {
            return self.in_flight().max(self.slots);
        }
        let limited = self.rate.map_or(0.0, |rate| {
            rate.utilization(self.queue.len()) * f64::from(self.slots)
        });
        self.in_flight().max(limited as u32)
    }

    /// Number of requests running.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn has_free_slot(&self) -> bool {
        self.running() < self.usable
    }

    /// Takes a start from the rate limit, if a slot is free and the target responds or may be probed.
    fn take_start(&mut self) -> bool {
        let may_start = self.has_free_slot() && self.silence.wait().is_zero();
        let starts = may_start && self.rate.as_mut().is_none_or(RateLimit::try_take);
        if starts {
            self.silence.start();
        }
        starts
    }

    fn refill(&mut self, now: Instant) {
        self.silence.refill(now);
        if let Some(rate) = &mut self.rate {
            rate.refill(now);
        }
    }

    fn start(&mut self, ticket: Ticket, kind: RequestKind) {
        let nearly_full = Headroom::is_nearly_full(self.running() + 1, self.slots);
        self.running.insert(ticket, Running { kind, nearly_full });
    }
}
