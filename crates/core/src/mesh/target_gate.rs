//! The queue before a target's slots.

use std::time::{Duration, Instant};

use crate::mesh::{LevelConfig, LevelControl};

/// How requests wait for a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
    /// Requests that run at a time until the published list tells the target's own number.
    pub slots: u32,
    /// Requests that wait at most; bounds memory.
    pub queue: usize,
    /// The level that follows from waiting.
    pub level: LevelConfig,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 2000,
            level: LevelConfig::default(),
        }
    }
}

/// Names one request within a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Urgency of the request from outside that it serves; 0 goes first.
    pub rank: u8,
    /// Whether another run waits for it. Work has been done above it already, so it goes before others of its rank and is
    /// refused only where it can't be in time.
    pub inner: bool,
    /// When the request from outside that it serves entered the mesh.
    pub began: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Longest wait to be expected at which it still enters.
    pub patience: Duration,
}

/// What became of a request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entered {
    /// It has a slot.
    Run(Ticket),
    /// It waits; [`TargetGate::next`] will name it.
    Wait(Ticket),
    /// It would wait too long.
    Refused {
        /// Time after which the queue has drained.
        retry_after: Duration,
    },
}

/// Slots and queue of one target.
#[derive(Clone, Debug)]
pub struct TargetGate {
    cfg: GateConfig,
    slots: u32,
    running: u32,
    queue: Vec<Queued>,
    next_ticket: u64,
    service_time: f64,
    level: LevelControl,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    ticket: Ticket,
    request: Waiting,
    since: Instant,
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

/// Service time assumed before the first request has ended, in seconds.
const FIRST_SERVICE_TIME: f64 = 0.05;

/// Weight of the newest request in the mean service time.
const NEWEST: f64 = 0.05;

impl TargetGate {
    /// An empty gate.
    pub fn new(cfg: GateConfig, now: Instant) -> Self {
        Self {
            slots: cfg.slots,
            running: 0,
            queue: Vec::new(),
            next_ticket: 0,
            service_time: FIRST_SERVICE_TIME,
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

    /// Takes in the target's own number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// A request asks for a slot.
    pub fn enter(&mut self, request: Waiting, now: Instant) -> Entered {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.level.arrived();
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            self.level.waited(Duration::ZERO);
            return Entered::Run(ticket);
        }
        let wait = self.expected_wait(&request);
        let left = request.deadline.saturating_duration_since(now);
        if wait >= request.patience.min(left) || self.queue.len() >= self.cfg.queue {
            return Entered::Refused { retry_after: wait };
        }
        let queued = Queued {
            ticket,
            request,
            since: now,
        };
        let at = self
            .queue
            .partition_point(|other| other.order() < queued.order());
        self.queue.insert(at, queued);
        Entered::Wait(ticket)
    }

    /// A request that had a slot has ended after `held`.
    pub fn leave(&mut self, held: Duration) {
        self.running = self.running.saturating_sub(1);
        self.service_time += NEWEST * (held.as_secs_f64() - self.service_time);
    }

    /// A request that was given a slot did not take it.
    pub fn give_back(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// A request stops waiting; `false` where it does not wait any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.ticket != ticket);
        self.queue.len() < before
    }

    /// The next request that gets a slot; to be asked until there is none.
    pub fn next(&mut self, now: Instant) -> Option<Ticket> {
        if self.running >= self.slots || self.queue.is_empty() {
            return None;
        }
        let queued = self.queue.remove(0);
        self.running += 1;
        self.level
            .waited(now.saturating_duration_since(queued.since));
        Some(queued.ticket)
    }

    /// Requests whose time is over; they don't wait any more.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let over = |queued: &Queued| queued.request.deadline <= now;
        let expired = self.queue.iter().filter(|queued| over(queued));
        let expired = expired.map(|queued| queued.ticket).collect();
        self.queue.retain(|queued| !over(queued));
        expired
    }

    /// Moves the level by what has been waited since the last time.
    pub fn update_level(&mut self, now: Instant) {
        let oldest = self.queue.iter().map(|queued| queued.since).min();
        let oldest = oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let rate = f64::from(self.slots) / self.service_time.max(f64::MIN_POSITIVE);
        self.level.update(oldest, rate, now);
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
        self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Time until a request entering now gets its slot, by what goes before it.
    fn expected_wait(&self, request: &Waiting) -> Duration {
        let order = (
            request.rank,
            !request.inner,
            request.began,
            Ticket(u64::MAX),
        );
        let ahead = self.queue.partition_point(|other| other.order() < order);
        let turns = (ahead + 1) as f64 / f64::from(self.slots);
        Duration::from_secs_f64(turns * self.service_time)
    }
}
