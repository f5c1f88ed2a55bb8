//! Deterministic simulation of callers, one admission controller and one target with a number of slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use coltsfootport_core::admission::{Action, Admission, AdmissionConfig, CallKey, Finish, Offer};
use coltsfootport_core::class::Class;
use coltsfootport_core::collections::Map;

/// Number of classes in the simulated load.
pub const CLASSES: usize = 3;

/// Parameters of a simulation: the load and the target.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub cfg: AdmissionConfig,
    /// Calls that the target processes concurrently; further ones are queued inside it.
    pub slots: usize,
    /// Whether the target sheds further calls immediately instead of queueing them.
    pub sheds: bool,
    /// Share of calls that the target fails immediately, independent of its load.
    pub fails: f64,
    /// Mean service time.
    pub service: Duration,
    /// Whether service times are drawn from an exponential distribution.
    pub exponential: bool,
    /// Time after which a caller gives up.
    pub deadline: Duration,
    /// Share of each class in the offered calls.
    pub shares: [f64; CLASSES],
    /// Load outside the surge, in multiples of the capacity.
    pub calm_load: f64,
    /// Load during the surge, in multiples of the capacity.
    pub surge_load: f64,
    pub surge: (Duration, Duration),
    /// Factor by which the service time is multiplied during the surge.
    pub slowdown: f64,
    /// Maximum number of retries of a refused or failed call.
    pub client_retries: u32,
    pub length: Duration,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            cfg: AdmissionConfig {
                initial_limit: 20,
                ..AdmissionConfig::default()
            },
            slots: 20,
            sheds: false,
            fails: 0.0,
            service: Duration::from_millis(20),
            exponential: true,
            deadline: Duration::from_millis(250),
            shares: [0.1, 0.3, 0.6],
            calm_load: 0.6,
            surge_load: 4.0,
            surge: (Duration::from_secs(3), Duration::from_secs(9)),
            slowdown: 1.0,
            client_retries: 0,
            length: Duration::from_secs(14),
            seed: 1,
        }
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Calls offered during the surge, without retries.
    pub offered: [u32; CLASSES],
    /// Calls answered before their deadline during the surge.
    pub good: [u32; CLASSES],
    /// Calls shed by the controller during the surge.
    pub shed: [u32; CLASSES],
    /// Calls refused by the controller for lack of time during the surge.
    pub too_late: [u32; CLASSES],
    /// Calls failed immediately or shed by the target during the surge.
    pub failed: [u32; CLASSES],
    /// Answers of the target that came after the deadline.
    pub wasted: u32,
    pub max_queue: usize,
    /// Limit at the end of the surge and at the end of the run.
    pub limits: [u32; 2],
    /// Calls of the highest class shed after a lower one had started in the same window.
    pub inversions: u32,
    /// Time from the end of the surge to the last refusal or failure.
    pub recovery: Duration,
    /// Goodput during the surge, relative to the capacity.
    pub goodput: f64,
    /// 99th percentile of the time from arrival to answer of good calls during the surge.
    pub p99: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { class: u8, attempt: u32 },
    Poisson,
    Done { slot: u64 },
    Shed { key: CallKey },
    Wake,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    class: u8,
    attempt: u32,
    arrived: Duration,
    deadline: Duration,
}

/// Runs a simulation.
pub fn run(scenario: &Scenario) -> Run {
    Model::new(scenario).run()
}

struct Model<'a> {
    cfg: &'a Scenario,
    epoch: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    admission: Admission,
    calls: Map<CallKey, Call>,
    /// Calls in the slots of the target, by sequence number.
    working: Map<u64, CallKey>,
    waiting: VecDeque<CallKey>,
    latencies: Vec<Duration>,
    last_refusal: Duration,
    /// Next time at which the controller is polled without an event.
    wakeup: Option<Duration>,
    /// Window in which a call below the highest class was last started.
    lower_start: Option<u128>,
    out: Run,
}

impl<'a> Model<'a> {
    fn new(cfg: &'a Scenario) -> Self {
        let epoch = Instant::now();
        Self {
            cfg,
            epoch,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(cfg.seed),
            admission: Admission::new(cfg.cfg.clone(), epoch),
            calls: Map::default(),
            working: Map::default(),
            waiting: VecDeque::new(),
            latencies: Vec::new(),
            last_refusal: Duration::ZERO,
            wakeup: None,
            lower_start: None,
            out: Run::default(),
        }
    }

    fn run(mut self) -> Run {
        self.schedule(Duration::ZERO, Event::Poisson);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.cfg.length {
                break;
            }
            if self.now < self.cfg.surge.1 && time >= self.cfg.surge.1 {
                self.out.limits[0] = self.admission.limit();
            }
            self.now = time;
            self.handle(event);
            self.poll();
        }
        self.report()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Poisson => self.poisson(),
            Event::Arrive { class, attempt } => self.arrive(class, attempt),
            Event::Done { slot } => self.done(slot),
            Event::Shed { key } => self.finish_shed(key),
            Event::Wake => {}
        }
    }

    fn poisson(&mut self) {
        let load = if self.in_surge() {
            self.cfg.surge_load
        } else {
            self.cfg.calm_load
        };
        let gap = self.exponential() / (self.capacity() * load);
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Poisson);
        let mut draw = self.rng.random::<f64>();
        let mut class = 0;
        while class + 1 < CLASSES && draw >= self.cfg.shares[class] {
            draw -= self.cfg.shares[class];
            class += 1;
        }
        self.arrive(class as u8, 0);
    }

    fn arrive(&mut self, class: u8, attempt: u32) {
        let deadline = self.now + self.cfg.deadline;
        let bucket = self.rng.random();
        let offer = Offer {
            class: Class(class),
            bucket,
            deadline: self.epoch + deadline,
        };
        let key = self.admission.offer(offer, self.instant());
        self.calls.insert(
            key,
            Call {
                class,
                attempt,
                arrived: self.now,
                deadline,
            },
        );
        if self.in_surge() && attempt == 0 {
            self.out.offered[usize::from(class)] += 1;
        }
    }

    fn poll(&mut self) {
        let mut actions = Vec::new();
        self.admission.poll(self.instant(), &mut actions);
        for action in actions {
            match action {
                Action::Start(key) => self.start(key),
                Action::Refuse(key, kind) => self.refused(key, kind),
            }
        }
        assert_eq!(self.admission.check(), Ok(()));
        self.out.max_queue = self.out.max_queue.max(self.admission.queued());
        if let Some(wakeup) = self.admission.next_wakeup() {
            let wakeup = wakeup.saturating_duration_since(self.epoch);
            let wakeup = wakeup.max(self.now + Duration::from_micros(100));
            if self
                .wakeup
                .is_none_or(|next| next <= self.now || wakeup < next)
            {
                self.wakeup = Some(wakeup);
                self.schedule(wakeup, Event::Wake);
            }
        }
    }

    fn start(&mut self, key: CallKey) {
        if self.calls[&key].class > 0 {
            self.lower_start = Some(self.window());
        }
        if self.cfg.fails > 0.0 && self.rng.random_bool(self.cfg.fails) {
            self.shed_by_target(key);
        } else if self.working.len() < self.cfg.slots {
            self.work(key);
        } else if self.cfg.sheds {
            self.shed_by_target(key);
        } else {
            self.waiting.push_back(key);
        }
    }

    fn shed_by_target(&mut self, key: CallKey) {
        self.schedule(self.now + Duration::from_millis(1), Event::Shed { key });
    }

    fn finish_shed(&mut self, key: CallKey) {
        let call = self.calls.remove(&key).expect("a started call");
        self.admission.finish(key, Finish::Failed, self.instant());
        if self.in_surge() {
            self.out.failed[usize::from(call.class)] += 1;
        }
        self.last_refusal = self.now;
        self.retry(call);
    }

    fn work(&mut self, key: CallKey) {
        self.sequence += 1;
        let slot = self.sequence;
        self.working.insert(slot, key);
        let factor = if self.cfg.exponential {
            self.exponential()
        } else {
            1.0
        };
        let slowdown = if self.in_surge() {
            self.cfg.slowdown
        } else {
            1.0
        };
        let service = self.cfg.service.mul_f64(factor * slowdown);
        self.schedule(self.now + service, Event::Done { slot });
    }

    fn done(&mut self, slot: u64) {
        let key = self.working.remove(&slot).expect("a slot in use");
        let call = self.calls.remove(&key).expect("a started call");
        let good = self.now <= call.deadline;
        let finish = if good { Finish::Served } else { Finish::Failed };
        self.admission.finish(key, finish, self.instant());
        if self.in_surge() {
            self.out.wasted += u32::from(!good);
            self.out.good[usize::from(call.class)] += u32::from(good);
            if good {
                self.latencies.push(self.now - call.arrived);
            }
        }
        if !good {
            self.last_refusal = self.now;
            self.retry(call);
        }
        if let Some(next) = self.waiting.pop_front() {
            self.work(next);
        }
    }

    fn refused(&mut self, key: CallKey, kind: coltsfootport_core::error_kind::ErrorKind) {
        let call = self.calls.remove(&key).expect("a waiting call");
        let class = usize::from(call.class);
        self.last_refusal = self.now;
        let shed = kind == coltsfootport_core::error_kind::ErrorKind::Shed;
        if self.in_surge() {
            self.out.shed[class] += u32::from(shed);
            self.out.too_late[class] += u32::from(!shed);
        }
        // At the start of the surge there are free slots, which calls of any class may take.
        let settled = self.now > self.cfg.surge.0 + self.cfg.cfg.window * 2;
        if shed && class == 0 && settled && self.lower_start == Some(self.window()) {
            self.out.inversions += 1;
        }
        self.retry(call);
    }

    fn retry(&mut self, call: Call) {
        if call.attempt >= self.cfg.client_retries {
            return;
        }
        let pause = Duration::from_millis(10).mul_f64(self.rng.random::<f64>());
        let retry = Event::Arrive {
            class: call.class,
            attempt: call.attempt + 1,
        };
        self.schedule(self.now + pause, retry);
    }

    fn report(mut self) -> Run {
        let surge = self.cfg.surge.1 - self.cfg.surge.0;
        let good = self.out.good.iter().sum::<u32>();
        self.out.goodput = f64::from(good) / (self.capacity() * surge.as_secs_f64());
        self.out.recovery = self.last_refusal.saturating_sub(self.cfg.surge.1);
        self.out.limits[1] = self.admission.limit();
        self.latencies.sort_unstable();
        let index = self.latencies.len() * 99 / 100;
        self.out.p99 = self.latencies.get(index).copied().unwrap_or_default();
        self.out
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn instant(&self) -> Instant {
        self.epoch + self.now
    }

    fn in_surge(&self) -> bool {
        self.now >= self.cfg.surge.0 && self.now < self.cfg.surge.1
    }

    fn window(&self) -> u128 {
        self.now.as_nanos() / self.cfg.cfg.window.as_nanos()
    }

    /// Returns the calls per second that the slots can serve without slowdown.
    fn capacity(&self) -> f64 {
        self.cfg.slots as f64 / self.cfg.service.as_secs_f64()
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }
}
