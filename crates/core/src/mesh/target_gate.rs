//! Admission to a target's slots, and the queue before them.

use std::time::{Duration, Instant};

use super::headroom::Headroom;
use crate::collections::Map;
use crate::mesh::{Backlog, LevelConfig, LevelControl, RequestKind, TimeLimits, Work};

/// How requests wait for a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
    /// Requests that run at a time until the published list tells the target's own number.
    pub slots: u32,
    /// Requests that wait at most; bounds memory.
    pub queue: usize,
    /// Share of the usual time of its kind that a request must have left to be started, 0 to start whatever has any. A run
    /// that ends at its deadline has held its slot, and those of its calls, for nothing.
    pub start_share: f64,
    /// Whether slots are left free where the target slows down with all of them.
    pub headroom: bool,
    /// Until when requests may wait.
    pub limits: TimeLimits,
    /// The level that follows from the load.
    pub level: LevelConfig,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 2000,
            start_share: 0.5,
            headroom: true,
            limits: TimeLimits::default(),
            level: LevelConfig::default(),
        }
    }
}

/// Names one request within a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Urgency of the request from outside that it serves; 0 goes first.
    pub rank: u8,
    /// Ranks that are shed before that one.
    pub order: usize,
    /// Share of the requests from outside like that one which its entry admitted at that time.
    pub admitted: f64,
    /// Its route.
    pub kind: RequestKind,
    /// Whether another run waits for it. Work has been done above it already, so it goes before others of its rank and is
    /// refused only where it can't be in time.
    pub inner: bool,
    /// When the request from outside that it serves entered the mesh.
    pub began: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Longest wait to be expected at which it still enters.
    pub queue_timeout: Duration,
}

/// Result of enqueueing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Dispatched at once.
    Run(Ticket),
    /// Queued; [`TargetGate::next_start`] returns its ticket when a slot is free.
    Wait(Ticket),
    /// Its expected wait is longer than its queue timeout.
    Refused {
        /// Time after which the queue has drained.
        retry_after: Duration,
    },
    /// It can't meet its deadline any more, by the usual service time of its kind.
    DeadlineUnreachable,
}

/// Slots and queue of one target.
#[derive(Clone, Debug)]
pub struct TargetGate {
    cfg: GateConfig,
    slots: u32,
    /// Slots that are used, fewer where the target slows down with all of them.
    usable: u32,
    running: Map<Ticket, Running>,
    queue: Vec<Queued>,
    next_ticket: u64,
    work: Work,
    headroom: Headroom,
    level: LevelControl,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: RequestKind,
    /// Whether it began with nearly all slots in use.
    full: bool,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    ticket: Ticket,
    request: Waiting,
    since: Instant,
    /// When it is refused if it still waits.
    until: Instant,
    /// Seconds for which it is expected to hold a slot.
    work: f64,
}

impl Queued {
    /// Rank first, then runs in progress, then the oldest request from outside.
    ///
    /// A request that makes many calls in a row waits here for each of them. By the arrival of each call, all requests in
    /// progress would take turns and all be late at the end; by age, those that have got furthest are finished first.
    fn order(&self) -> (u8, bool, Instant, Ticket) {
        let req = &self.request;
        (req.rank, !req.inner, req.began, self.ticket)
    }
}

/// Share of its time in which the queue before a request should drain: it may pass several targets on its way, and its
/// own run needs the most of it.
const DRAIN_SHARE: f64 = 0.25;

/// Bounds of that time: a shorter one would answer every fluctuation, a longer one would let queues stand.
const DRAIN_RANGE: (f64, f64) = (0.2, 2.0);

impl TargetGate {
    /// A gate with an empty queue and all slots free.
    pub fn new(cfg: GateConfig, now: Instant) -> Self {
        Self {
            slots: cfg.slots,
            usable: cfg.slots,
            running: Map::default(),
            queue: Vec::new(),
            next_ticket: 0,
            work: Work::default(),
            headroom: Headroom::default(),
            level: LevelControl::new(cfg.level, now),
            cfg,
        }
    }

    /// Takes in how requests wait from now on. The published number of slots goes before the configured one.
    pub fn set_config(&mut self, cfg: GateConfig) {
        if self.slots == self.cfg.slots {
            self.slots = cfg.slots;
        }
        self.level.set_config(cfg.level);
        self.cfg = cfg;
    }

    /// Takes in how many ranks requests can have.
    pub fn set_ranks(&mut self, ranks: usize) {
        self.level.set_ranks(ranks);
    }

    /// Takes in the target's own number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.usable = self.slots;
    }

    /// A request asks for a slot.
    pub fn enter(&mut self, request: Waiting, now: Instant) -> Admission {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let work = self.work.expected(request.kind);
        self.level
            .record_arrival(request.order, work, request.admitted);
        if self.latest_start(&request) <= now {
            return Admission::DeadlineUnreachable;
        }
        if self.running() < self.usable && self.queue.is_empty() {
            self.start(ticket, request.kind);
            return Admission::Run(ticket);
        }
        let wait = self.expected_wait(&request);
        let until = self
            .cfg
            .limits
            .wait_until(request.deadline, request.inner, now);
        let left = until.saturating_duration_since(now);
        if wait >= request.queue_timeout.min(left) || self.queue.len() >= self.cfg.queue {
            return Admission::Refused { retry_after: wait };
        }
        let queued = Queued {
            ticket,
            request,
            since: now,
            until,
            work,
        };
        let at = self
            .queue
            .partition_point(|other| other.order() < queued.order());
        self.queue.insert(at, queued);
        Admission::Wait(ticket)
    }

    /// A request that had a slot has ended after `held`.
    pub fn leave(&mut self, ticket: Ticket, held: Duration, now: Instant) {
        if let Some(Running { kind, full }) = self.running.remove(&ticket) {
            let held = held.as_secs_f64();
            self.work.learn(kind, held);
            self.headroom.learn(kind, held, full, now);
        }
    }

    /// A request that was given a slot did not take it.
    pub fn give_back(&mut self, ticket: Ticket) {
        self.running.remove(&ticket);
    }

    /// A request stops waiting; `false` where it does not wait any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.ticket != ticket);
        self.queue.len() < before
    }

    /// The next request that gets a slot; to be asked until there is none.
    pub fn next_start(&mut self) -> Option<Ticket> {
        if self.running() >= self.usable || self.queue.is_empty() {
            return None;
        }
        let queued = self.queue.remove(0);
        self.start(queued.ticket, queued.request.kind);
        Some(queued.ticket)
    }

    /// Requests whose time is over, or does not hold what their kind needs any more; they don't wait any more.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let mut expired = Vec::new();
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|queued| {
            let over = self.latest_start(&queued.request).min(queued.until) <= now;
            if over {
                expired.push(queued.ticket);
            }
            !over
        });
        self.queue = queue;
        expired
    }

    /// Moves the level by what has come since the last time.
    pub fn update_level(&mut self, now: Instant) {
        self.usable = match self.cfg.headroom {
            true => self.headroom.limit(self.slots, now),
            false => self.slots,
        };
        let slots = f64::from(self.usable);
        self.level.update(slots, &self.backlog(slots), now);
    }

    /// The level, from 0 for no overload.
    pub fn level(&self) -> f64 {
        self.level.level()
    }

    /// Work that arrives over work that the slots can do.
    pub fn load(&self) -> f64 {
        self.level.load()
    }

    /// Requests running and waiting.
    pub fn busy(&self) -> u32 {
        self.running() + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Time until a request that enters now has ended, by what goes before it and what its kind usually needs.
    pub fn expected_time(&self, request: &Waiting) -> Duration {
        let is_free = self.running() < self.usable && self.queue.is_empty();
        let wait = match is_free {
            true => Duration::ZERO,
            false => self.expected_wait(request),
        };
        let usual = self.work.known(request.kind).unwrap_or_default();
        wait + Duration::from_secs_f64(usual)
    }

    fn start(&mut self, ticket: Ticket, kind: RequestKind) {
        let full = Headroom::is_nearly_full(self.running() + 1, self.slots);
        self.running.insert(ticket, Running { kind, full });
    }

    /// Until when a request must be started to end in time, by what its kind usually needs.
    fn latest_start(&self, request: &Waiting) -> Instant {
        let usual = self.work.known(request.kind).unwrap_or_default();
        let needed = Duration::from_secs_f64(usual * self.cfg.start_share);
        let latest = request.deadline.checked_sub(needed);
        latest.unwrap_or(request.deadline)
    }

    /// Load that the queue adds to what arrives, if each request in it is to be started while that is worth it.
    fn backlog(&self, slots: f64) -> Backlog {
        let mut backlog = Backlog::default();
        for queued in &self.queue {
            let time = queued.request.deadline - queued.since;
            let drain = time.as_secs_f64() * DRAIN_SHARE;
            let load = queued.work / drain.clamp(DRAIN_RANGE.0, DRAIN_RANGE.1) / slots;
            backlog.add(queued.request.order, load);
        }
        backlog
    }

    /// Time until a request that enters now gets its slot, by what goes before it.
    fn expected_wait(&self, request: &Waiting) -> Duration {
        let order = (
            request.rank,
            !request.inner,
            request.began,
            Ticket(u64::MAX),
        );
        let ahead = self.queue.partition_point(|other| other.order() < order);
        let running = self.running.values();
        let turn =
            running.map(|run| self.work.expected(run.kind)).sum::<f64>() / f64::from(self.usable);
        let before: f64 = self.queue[..ahead].iter().map(|queued| queued.work).sum();
        Duration::from_secs_f64((before + turn) / f64::from(self.usable))
    }
}
