//! Admission controller of one target.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::call::{Action, CallKey, Finish, Offer};
use super::config::{AdmissionConfig, AdmissionMode};
use super::counters::ClassCounters;
use super::estimate::ServiceEstimate;
use super::level::Level;
use super::level_control::LevelControl;
use super::limit::LimitControl;
use super::queue::{Order, Queue, latest_start};
use super::refusal::Refusal;
use super::window::Window;
use crate::class::Class;
use crate::invariant::Invariant;

/// Decides which calls start at a target, which are queued and which are refused.
///
/// Call [`poll`](Self::poll) after every other method to collect the resulting actions, and at the time returned by
/// [`next_wakeup`](Self::next_wakeup) if no event occurs before. A refusal is final and is returned by the next poll.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    calls: SlotMap<CallKey, Call>,
    queue: Queue,
    in_flight: u32,
    /// Release times of slots held after early failures.
    held: Vec<Instant>,
    limit: LimitControl,
    level: LevelControl,
    window: Window,
    estimate: ServiceEstimate,
    cold_since: Instant,
    /// Latest time passed to any method.
    last_seen: Instant,
    actions: Vec<Action>,
    counters: [ClassCounters; Class::COUNT],
}

/// Lower bound of the expected service time, which also applies while the service time is unknown.
const MIN_EXPECTED_TIME: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug)]
struct Call {
    class: Class,
    deadline: Instant,
    /// Time at which the call was started; `None` while it is queued.
    started: Option<Instant>,
    /// Time that the target spent waiting for downstream services.
    downstream_wait: Duration,
}

impl Admission {
    /// Creates a controller for a target that is cold at `now`.
    pub fn new(cfg: AdmissionConfig, now: Instant) -> Self {
        Self {
            calls: SlotMap::with_key(),
            queue: Queue::default(),
            in_flight: 0,
            held: Vec::new(),
            limit: LimitControl::new(&cfg),
            level: LevelControl::new(cfg.window, now),
            window: Window::new(0, now),
            estimate: ServiceEstimate::new(cfg.estimate_half_life, now),
            cold_since: now,
            last_seen: now,
            actions: Vec::new(),
            counters: [ClassCounters::default(); Class::COUNT],
            cfg,
        }
    }

    /// Offers a call: starts, queues or refuses it.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> CallKey {
        let offer = Offer {
            class: offer.class.min(Class::LOWEST),
            ..offer
        };
        self.advance(now);
        self.start_queued(now);
        self.counters_mut(offer.class).offered += 1;
        self.level.record_offer(offer.class, offer.bucket);
        let Offer {
            class, deadline, ..
        } = offer;
        let key = self.calls.insert(Call {
            class,
            deadline,
            started: None,
            downstream_wait: Duration::ZERO,
        });
        if let Some(refusal) = self.refusal(&offer, now) {
            self.refuse(key, refusal);
            return key;
        }
        if self.has_slot() {
            self.start(key, now);
            return key;
        }
        if let Some(victim) = self.queue.push(key, offer, self.cfg.queue_length) {
            self.refuse(victim.key, Refusal::Queue);
        }
        key
    }

    /// Records how long the target waited for downstream services during a call. Must be called before the call is
    /// finished.
    pub fn record_downstream_wait(&mut self, key: CallKey, time: Duration) {
        if let Some(call) = self.calls.get_mut(key) {
            call.downstream_wait = time;
        }
    }

    /// Records the end of a started call.
    pub fn finish(&mut self, key: CallKey, finish: Finish, now: Instant) {
        let Some(call) = self.calls.get(key).copied() else {
            return;
        };
        let Some(started) = call.started else {
            self.cancel(key, now);
            return;
        };
        self.calls.remove(key);
        self.actions.retain(|action| *action != Action::Start(key));
        self.in_flight -= 1;
        let early = now < call.deadline && now < started + self.expected_time(now);
        if finish == Finish::Failed && early {
            self.hold_slot(started, now);
        }
        self.record_finish(started, call.downstream_wait, finish, early, now);
        let counters = self.counters_mut(call.class);
        match finish {
            Finish::Served => counters.served += 1,
            Finish::Failed | Finish::FailedDownstream => counters.failed += 1,
            Finish::Cancelled => counters.cancelled += 1,
        }
        self.advance(now);
        self.start_queued(now);
    }

    /// Cancels a queued or started call whose caller has left.
    pub fn cancel(&mut self, key: CallKey, now: Instant) {
        let Some(call) = self.calls.get(key).copied() else {
            return;
        };
        if call.started.is_some() {
            self.finish(key, Finish::Cancelled, now);
            return;
        }
        self.calls.remove(key);
        self.queue.remove(key);
        self.counters_mut(call.class).cancelled += 1;
        self.record_queue_state();
    }

    /// Appends all pending actions.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.advance(now);
        self.start_queued(now);
        actions.append(&mut self.actions);
    }

    /// Returns the time of the next poll that is required even without an event.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let service = self.estimate.get(self.level.window_end());
        let expiry = self
            .queue
            .iter()
            .map(|call| latest_start(call, service))
            .min();
        let adjusting = !self.queue.is_empty() || self.level() < Level::OPEN;
        let window_end = adjusting.then(|| self.level.window_end());
        let waiting = !self.queue.is_empty();
        let free = self.held.iter().copied().min().filter(|_| waiting);
        [expiry, window_end, free].into_iter().flatten().min()
    }

    /// Restarts the cold start and discards what was learnt about the limit, after a restart of the target.
    pub fn restarted(&mut self, now: Instant) {
        self.cold_since = now;
        self.limit = LimitControl::new(&self.cfg);
        self.window = Window::new(self.in_flight, now);
        self.held.clear();
    }

    /// Returns the current admission level, which is reported upstream with each answer.
    pub fn level(&self) -> Level {
        if self.cfg.level_shedding {
            self.level.level()
        } else {
            Level::OPEN
        }
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        match self.cfg.mode {
            AdmissionMode::Off => u32::MAX,
            AdmissionMode::Static => self.cfg.initial_limit.max(1),
            AdmissionMode::Adaptive => self.adaptive_limit(),
        }
    }

    /// Returns the number of calls running at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of slots held after early failures at the target.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the estimated service time of a call that starts now, or zero if it is unknown.
    pub fn service_time(&self, now: Instant) -> Duration {
        self.estimate.get(now)
    }

    /// Returns the counters of a class.
    pub fn counters(&self, class: Class) -> ClassCounters {
        self.counters[usize::from(class.min(Class::LOWEST).0)]
    }

    /// Checks the invariant that the queue is within its bound.
    pub fn check(&self) -> Result<(), Invariant> {
        if self.queue.len() > self.cfg.queue_length {
            return Err(Invariant::QueuePastBound);
        }
        Ok(())
    }

    fn adaptive_limit(&self) -> u32 {
        let age = self
            .last_seen
            .saturating_duration_since(self.cold_since)
            .as_secs_f64();
        let cold_start = self.cfg.cold_start.as_secs_f64();
        let warm = if age >= cold_start {
            1.0
        } else {
            age / cold_start
        };
        let share = self.cfg.cold_share + (1.0 - self.cfg.cold_share) * warm;
        // Applied after `min_limit`, so that the limit of a cold target can be lower than that.
        let limit = self.limit.get().max(f64::from(self.cfg.min_limit));
        ((limit * share).floor() as u32).max(1)
    }

    fn has_slot(&self) -> bool {
        self.occupied() < self.limit()
    }

    /// Returns the number of slots in use, including those held after early failures.
    fn occupied(&self) -> u32 {
        self.in_flight + self.held.len() as u32
    }

    /// Holds the slot of a call that failed early until a served call would have finished.
    ///
    /// A target that sheds load by itself responds immediately and ignores classes. If its failures released their
    /// slots immediately, a limit one above the target's capacity would drain the whole queue into failures, including
    /// calls of the highest class. With held slots, each surplus slot fails only one call per service time, which
    /// leaves time to lower the limit.
    fn hold_slot(&mut self, started: Instant, now: Instant) {
        if self.cfg.mode != AdmissionMode::Off {
            self.held.push(started + self.expected_time(now));
        }
    }

    fn expected_time(&self, now: Instant) -> Duration {
        self.estimate.get(now).max(MIN_EXPECTED_TIME)
    }

    /// Returns the reason to refuse a call on arrival, if any.
    fn refusal(&self, offer: &Offer, now: Instant) -> Option<Refusal> {
        if self.cfg.mode == AdmissionMode::Off {
            return None;
        }
        if !self.level().admits(offer.class, offer.bucket) {
            return Some(Refusal::Level);
        }
        if !self.cfg.deadline_check {
            return None;
        }
        let left = offer.deadline.saturating_duration_since(now);
        let service = self.estimate.get(now);
        if left.is_zero() || left < service {
            return Some(Refusal::Deadline);
        }
        (left < service + self.expected_wait(offer.class, service)).then_some(Refusal::Wait)
    }

    fn expected_wait(&self, class: Class, service: Duration) -> Duration {
        if self.has_slot() {
            return Duration::ZERO;
        }
        let turns = self.queue.ahead(class, self.order()) + 1;
        service.mul_f64(turns as f64 / f64::from(self.limit()))
    }

    fn order(&self) -> Order {
        if self.level.queue_standing() {
            Order::Newest
        } else {
            Order::Oldest
        }
    }

    /// Starts queued calls while slots are free, after refusing those that can no longer finish in time.
    fn start_queued(&mut self, now: Instant) {
        self.refuse_expired(now);
        while self.has_slot() {
            let Some(call) = self.queue.pop(self.order()) else {
                break;
            };
            self.start(call.key, now);
        }
        self.record_queue_state();
    }

    fn refuse_expired(&mut self, now: Instant) {
        if !self.cfg.deadline_check {
            return;
        }
        let service = self.estimate.get(now);
        let expired = self
            .queue
            .extract_if(|call| latest_start(call, service) <= now);
        for call in expired {
            self.refuse(call.key, Refusal::Wait);
        }
    }

    fn start(&mut self, key: CallKey, now: Instant) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.started = Some(now);
        let class = call.class;
        self.in_flight += 1;
        self.window.record_start(self.occupied());
        self.counters_mut(class).started += 1;
        self.actions.push(Action::Start(key));
    }

    fn refuse(&mut self, key: CallKey, refusal: Refusal) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if matches!(refusal, Refusal::Queue | Refusal::Wait) {
            self.level.record_refusal(call.class);
        }
        let counters = self.counters_mut(call.class);
        match refusal {
            Refusal::Level => counters.shed_by_level += 1,
            Refusal::Queue => counters.shed_by_queue += 1,
            Refusal::Deadline | Refusal::Wait => counters.refused_by_deadline += 1,
        }
        self.actions.push(Action::Refuse(key, refusal.kind()));
    }

    /// Closes elapsed windows, adjusts limit and level, and releases held slots.
    fn advance(&mut self, now: Instant) {
        self.last_seen = self.last_seen.max(now);
        if self.cfg.mode == AdmissionMode::Off {
            return;
        }
        self.held.retain(|until| *until > now);
        let (min, samples) = (self.cfg.window, self.cfg.window_samples);
        if let Some(summary) = self.window.close(min, samples, self.occupied(), now) {
            self.limit.update(&self.cfg, summary, now);
            if let Some(times) = summary.times {
                self.estimate.update(times.median, now);
            }
        }
        let fell = self.level.advance(self.queue.is_empty(), now);
        if fell {
            self.shed_above_level();
        }
    }

    /// Refuses queued calls above the lowered level.
    fn shed_above_level(&mut self) {
        let level = self.level();
        let shed = self
            .queue
            .extract_if(|call| !level.admits(call.offer.class, call.offer.bucket));
        for call in shed {
            self.refuse(call.key, Refusal::Level);
        }
    }

    fn record_finish(
        &mut self,
        started: Instant,
        downstream_wait: Duration,
        finish: Finish,
        early: bool,
        now: Instant,
    ) {
        // Failures after the deadline or the expected service time count as service time samples. Early failures mean
        // that the target sheds calls or is broken.
        self.window.record_finish();
        if finish == Finish::Failed && early {
            self.window.record_early_failure(self.in_flight);
        }
        if finish == Finish::Served {
            self.level.record_served();
        }
        // A call that was given up took at least this long. Without these samples, the estimate for a target that no
        // longer answers in time would stay low, and calls would be started that all exceed their deadlines.
        let long = now >= started + self.expected_time(now);
        if finish == Finish::Served || long {
            self.window
                .record_service_time(started, downstream_wait, now);
        }
    }

    fn record_queue_state(&mut self) {
        if self.queue.is_empty() {
            self.level.record_empty_queue();
        }
    }

    fn counters_mut(&mut self, class: Class) -> &mut ClassCounters {
        &mut self.counters[usize::from(class.0)]
    }
}
