//! The admission controller of one target.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::call::{Action, CallKey, Finish, Offer};
use super::config::{AdmissionConfig, AdmissionMode};
use super::counters::ClassCounters;
use super::estimate::ServiceEstimate;
use super::level::Level;
use super::level_control::LevelControl;
use super::limit::LimitControl;
use super::queue::{Order, Queue, doomed_at};
use super::refusal::Refusal;
use super::window::Window;
use crate::class::Class;
use crate::invariant::Invariant;

/// Decides which calls start at a target, which wait and which are refused.
///
/// After each call of another method, [`poll`](Self::poll) drains what is to be done; [`next_wakeup`](Self::next_wakeup)
/// says when to poll without an event. A refusal is final and is handed out at once.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    calls: SlotMap<CallKey, Call>,
    queue: Queue,
    in_flight: u32,
    /// When slots of calls that failed early are given back.
    held: Vec<Instant>,
    limit: LimitControl,
    level: LevelControl,
    window: Window,
    estimate: ServiceEstimate,
    cold_since: Instant,
    /// The latest time that was passed in.
    latest: Instant,
    actions: Vec<Action>,
    counters: [ClassCounters; Class::COUNT],
}

/// Shortest time for which the slot of a failed call is held, where no service time is known.
const LEAST_HOLD: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug)]
struct Call {
    class: Class,
    deadline: Instant,
    /// When the call went to the target; none while it waits.
    started: Option<Instant>,
    /// Time in which the target waited for further services.
    below: Duration,
}

impl Admission {
    /// Admission for a target that is cold at `now`.
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
            latest: now,
            actions: Vec::new(),
            counters: [ClassCounters::default(); Class::COUNT],
            cfg,
        }
    }

    /// Takes a call that wants to run.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> CallKey {
        let offer = Offer {
            class: offer.class.min(Class::LOWEST),
            ..offer
        };
        self.advance(now);
        self.fill(now);
        self.count(offer.class).offered += 1;
        self.level.offered(offer.class, offer.bucket);
        let Offer {
            class, deadline, ..
        } = offer;
        let key = self.calls.insert(Call {
            class,
            deadline,
            started: None,
            below: Duration::ZERO,
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

    /// Notes how long the target waited for further services on behalf of a call; told before its end.
    pub fn record_downstream_wait(&mut self, key: CallKey, time: Duration) {
        if let Some(call) = self.calls.get_mut(key) {
            call.below = time;
        }
    }

    /// Takes the end of a started call.
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
        self.learn(started, call.below, finish, early, now);
        let counters = self.count(call.class);
        match finish {
            Finish::Served => counters.served += 1,
            Finish::Failed | Finish::FailedDownstream => counters.failed += 1,
            Finish::Cancelled => counters.cancelled += 1,
        }
        self.advance(now);
        self.fill(now);
    }

    /// Takes a call out whose caller left, whether it waits or runs.
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
        self.count(call.class).cancelled += 1;
        self.note_queue();
    }

    /// Appends what is to be done now.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.advance(now);
        self.fill(now);
        actions.append(&mut self.actions);
    }

    /// When to poll even if nothing happens.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let service = self.estimate.get(self.level.window_end());
        let doomed = self.queue.iter().map(|call| doomed_at(call, service)).min();
        let moving = !self.queue.is_empty() || self.level() < Level::OPEN;
        let window_end = moving.then(|| self.level.window_end());
        let waiting = !self.queue.is_empty();
        let free = self.held.iter().copied().min().filter(|_| waiting);
        [doomed, window_end, free].into_iter().flatten().min()
    }

    /// Begins the slow start anew, as the target was restarted.
    pub fn restarted(&mut self, now: Instant) {
        self.cold_since = now;
        self.limit = LimitControl::new(&self.cfg);
        self.window = Window::new(self.in_flight, now);
        self.held.clear();
    }

    /// The level below which calls are admitted now; told upwards with each answer.
    pub fn level(&self) -> Level {
        if self.cfg.level_shedding {
            self.level.level()
        } else {
            Level::OPEN
        }
    }

    /// Calls that may run at once.
    pub fn limit(&self) -> u32 {
        match self.cfg.mode {
            AdmissionMode::Off => u32::MAX,
            AdmissionMode::Static => self.cfg.initial_limit.max(1),
            AdmissionMode::Adaptive => self.adaptive_limit(),
        }
    }

    /// Calls at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots that are held after early failures at the target.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Estimated service time of a call that starts now; zero where nothing is known.
    pub fn service_time(&self, now: Instant) -> Duration {
        self.estimate.get(now)
    }

    /// Counts of a class since the start.
    pub fn counters(&self, class: Class) -> ClassCounters {
        self.counters[usize::from(class.min(Class::LOWEST).0)]
    }

    /// Checks that the queue is within its bound.
    pub fn check(&self) -> Result<(), Invariant> {
        if self.queue.len() > self.cfg.queue_length {
            return Err(Invariant::QueuePastBound);
        }
        Ok(())
    }

    fn adaptive_limit(&self) -> u32 {
        let age = self
            .latest
            .saturating_duration_since(self.cold_since)
            .as_secs_f64();
        let cold_start = self.cfg.cold_start.as_secs_f64();
        let warm = if age >= cold_start {
            1.0
        } else {
            age / cold_start
        };
        let share = self.cfg.cold_share + (1.0 - self.cfg.cold_share) * warm;
        // The share comes last: a cold target is spared below the least limit, too.
        let limit = self.limit.get().max(f64::from(self.cfg.min_limit));
        ((limit * share).floor() as u32).max(1)
    }

    fn has_slot(&self) -> bool {
        self.occupied() < self.limit()
    }

    /// Slots in use by calls or held after their failure.
    fn occupied(&self) -> u32 {
        self.in_flight + self.held.len() as u32
    }

    /// Keeps the slot of a call that failed early for as long as a served call would have taken.
    ///
    /// A target that sheds answers at once, without regard of classes. If its failures freed their slots at once, one
    /// slot above what the target takes would burn the whole queue, bids included: one would see few calls queued here
    /// and many of each class shed by the target. Held slots let a surplus slot fail one call per service time only, and
    /// the limit has time to come down.
    fn hold_slot(&mut self, started: Instant, now: Instant) {
        if self.cfg.mode != AdmissionMode::Off {
            self.held.push(started + self.expected_time(now));
        }
    }

    fn expected_time(&self, now: Instant) -> Duration {
        self.estimate.get(now).max(LEAST_HOLD)
    }

    /// Why a call is refused on arrival.
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
        if self.level.standing() {
            Order::Newest
        } else {
            Order::Oldest
        }
    }

    /// Starts waiting calls while there are slots, after refusing those that can't finish any more.
    fn fill(&mut self, now: Instant) {
        self.refuse_doomed(now);
        while self.has_slot() {
            let Some(call) = self.queue.pop(self.order()) else {
                break;
            };
            self.start(call.key, now);
        }
        self.note_queue();
    }

    fn refuse_doomed(&mut self, now: Instant) {
        if !self.cfg.deadline_check {
            return;
        }
        let service = self.estimate.get(now);
        let doomed = self.queue.take_if(|call| doomed_at(call, service) <= now);
        for call in doomed {
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
        self.window.started(self.occupied());
        self.count(class).started += 1;
        self.actions.push(Action::Start(key));
    }

    fn refuse(&mut self, key: CallKey, refusal: Refusal) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if matches!(refusal, Refusal::Queue | Refusal::Wait) {
            self.level.refused(call.class);
        }
        let counters = self.count(call.class);
        match refusal {
            Refusal::Level => counters.shed_by_level += 1,
            Refusal::Queue => counters.shed_by_queue += 1,
            Refusal::Deadline | Refusal::Wait => counters.refused_by_deadline += 1,
        }
        self.actions.push(Action::Refuse(key, refusal.kind()));
    }

    /// Closes windows that are over.
    fn advance(&mut self, now: Instant) {
        self.latest = self.latest.max(now);
        if self.cfg.mode == AdmissionMode::Off {
            return;
        }
        self.held.retain(|until| *until > now);
        let (min, samples) = (self.cfg.window, self.cfg.window_samples);
        if let Some(seen) = self.window.close(min, samples, self.occupied(), now) {
            self.limit.update(&self.cfg, seen, now);
            if let Some(times) = seen.times {
                self.estimate.update(times.median, now);
            }
        }
        let fell = self.level.advance(self.queue.is_empty(), now);
        if fell {
            self.shed_above_level();
        }
    }

    /// Refuses waiting calls above a lower level now, as they would only be refused later.
    fn shed_above_level(&mut self) {
        let level = self.level();
        let shed = self
            .queue
            .take_if(|call| !level.admits(call.offer.class, call.offer.bucket));
        for call in shed {
            self.refuse(call.key, Refusal::Level);
        }
    }

    fn learn(
        &mut self,
        started: Instant,
        below: Duration,
        finish: Finish,
        early: bool,
        now: Instant,
    ) {
        // Failures past the deadline or the usual time are seen in the service times; early ones tell that the target
        // sheds or is broken.
        self.window.finished();
        if finish == Finish::Failed && early {
            self.window.failed_early(self.in_flight);
        }
        if finish == Finish::Served {
            self.level.served();
        }
        // A call that was given up after a long time took at least so long. Without it a target that answers nothing
        // in time would keep the estimate of its good days, seen as calls started that all run past their deadlines.
        let long = now >= started + self.expected_time(now);
        if finish == Finish::Served || long {
            self.window.sample(started, below, now);
        }
    }

    fn note_queue(&mut self) {
        if self.queue.is_empty() {
            self.level.queue_empty();
        }
    }

    fn count(&mut self, class: Class) -> &mut ClassCounters {
        &mut self.counters[usize::from(class.0)]
    }
}
