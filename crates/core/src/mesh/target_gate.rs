//! Admission to the slots of a target, and the queue in front of them.

use std::time::{Duration, Instant};

use super::headroom::Headroom;
use crate::collections::Map;
use crate::mesh::{
    Backlog, LevelConfig, LevelControl, RateLimit, RequestKind, ServiceTimes, TargetSilence,
    TimeLimits,
};

/// Settings of the queue in front of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
    /// Concurrency limit until the published list of instances gives the target's own.
    pub slots: u32,
    /// Maximum number of queued requests; bounds memory.
    pub max_queued: usize,
    /// Share of the mean service time of its kind that a request must have left to be dispatched; 0 dispatches any
    /// request before its deadline. A run that is cut off at its deadline has wasted its slot and those of its calls.
    pub start_share: f64,
    /// Whether to leave slots free when the target slows down near full concurrency.
    pub headroom: bool,
    /// Whether the overload level counts slot time without the time during which runs wait for calls of their own.
    /// Otherwise slow calls raise the level of every service above them, which could serve other requests.
    pub level_without_waits: bool,
    /// Margins that bound how long requests may wait.
    pub limits: TimeLimits,
    /// How the overload level follows the load.
    pub level: LevelConfig,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            max_queued: 2000,
            start_share: 0.5,
            headroom: true,
            level_without_waits: true,
            limits: TimeLimits::default(),
            level: LevelConfig::default(),
        }
    }
}

/// Identifies a request within a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRequest {
    /// Urgency of the external request that it belongs to; 0 is served first.
    pub rank: u8,
    /// Number of ranks that are shed before its own.
    pub shed_order: usize,
    /// Share of similar external requests that the entry node was admitting when it admitted this one.
    pub admitted: f64,
    /// Route of the request.
    pub kind: RequestKind,
    /// Whether it is a call made during another run. Work upstream has already been done, so it is served before others
    /// of its rank and refused only if it can't finish in time.
    pub inner: bool,
    /// When the external request that it belongs to entered the mesh.
    pub began: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Longest expected wait at which it is still queued.
    pub queue_timeout: Duration,
}

/// Result of enqueueing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Dispatched immediately.
    Dispatched(Ticket),
    /// Queued; [`TargetGate::dispatch_next`] returns its ticket when a slot is free.
    Queued(Ticket),
    /// Its expected wait is longer than its queue timeout or its remaining time, or the queue is full.
    Refused {
        /// Expected wait for a slot.
        retry_after: Duration,
    },
    /// It can no longer meet its deadline, judging by the mean service time of its kind.
    DeadlineUnreachable,
}

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

    /// Records how long a run held its slot without waiting for calls of its own.
    pub fn record_work(&mut self, kind: RequestKind, work: Duration) {
        self.work_times.record(kind, work.as_secs_f64());
    }

    /// Mean time for which runs of a kind hold a slot without waiting for calls of their own; `None` without samples.
    pub fn mean_work(&self, kind: RequestKind) -> Option<Duration> {
        self.work_times.mean(kind).map(Duration::from_secs_f64)
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

    /// Releases the slot of a dispatched request that did not run, without recording a service time.
    pub fn release_unused(&mut self, ticket: Ticket) {
        self.running.remove(&ticket);
        self.silence.put_back();
        if let Some(rate) = &mut self.rate {
            rate.put_back();
        }
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

    /// Slots that can be in use on average. A rate limit lowers them while enough requests queue for it.
    fn effective_slots(&self) -> f64 {
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

    /// Latest time at which a request may be dispatched, from the mean service time of its kind.
    fn latest_start(&self, request: &SlotRequest) -> Instant {
        let mean = self.service_times.mean(request.kind).unwrap_or_default();
        let needed = Duration::from_secs_f64(mean * self.cfg.start_share);
        let latest = request.deadline.checked_sub(needed);
        latest.unwrap_or(request.deadline)
    }

    /// Load that the queue adds to the arrivals if each queued request is to be dispatched within its drain time.
    fn backlog(&self, slots: f64) -> Backlog {
        let mut backlog = Backlog::default();
        for queued in &self.queue {
            let time = queued.request.deadline - queued.since;
            let drain_time = time.as_secs_f64() * DRAIN_SHARE;
            let load = queued.work / drain_time.clamp(DRAIN_RANGE.0, DRAIN_RANGE.1) / slots;
            backlog.add(queued.request.shed_order, load);
        }
        backlog
    }

    /// Expected time until a request that is admitted now gets a slot, from the requests running and queued ahead of
    /// it.
    fn expected_wait(&self, request: &SlotRequest) -> Duration {
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
}
