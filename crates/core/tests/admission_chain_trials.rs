//! Simulations of requests that call an overloaded service several times. They print a table of results and check that
//! levels increase the number of completed requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use coltsfootport_core::admission::{
    Action, Admission, AdmissionConfig, CallKey, DownstreamLevels, DownstreamLevelsConfig, Finish,
    Offer,
};
use coltsfootport_core::class::Class;
use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;

const SLOTS: u32 = 20;
const SERVICE: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(10);
/// Number of sequential calls that one request makes to the service.
const CALLS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shedding {
    /// Shedding by queue and deadline only, with a random bucket per call instead of a hash of the request id.
    Random,
    /// Shedding by the level of the service.
    Level,
    /// Shedding by the level of the service, both there and at the entry.
    Entry,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Done(CallKey),
    Wake,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: Class,
    bucket: u8,
    deadline: Duration,
    completed_calls: u32,
}

#[derive(Debug, Default)]
struct Out {
    good: u32,
    /// Calls served for requests that failed.
    wasted: u32,
    /// Requests refused at the entry, before any call.
    at_entry: u32,
    offered: [u32; 2],
    top_good: u32,
}

struct Model {
    shedding: Shedding,
    load: f64,
    epoch: Instant,
    now: Duration,
    rng: SmallRng,
    admission: Admission,
    levels: DownstreamLevels,
    service: ServiceName,
    slots: Vec<Duration>,
    requests: Map<CallKey, Request>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    out: Out,
}

impl Model {
    fn new(shedding: Shedding, load: f64) -> Self {
        let epoch = Instant::now();
        let cfg = AdmissionConfig {
            initial_limit: SLOTS,
            level_shedding: shedding != Shedding::Random,
            ..AdmissionConfig::default()
        };
        Self {
            shedding,
            load,
            epoch,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(31),
            admission: Admission::new(cfg, epoch),
            levels: DownstreamLevels::new(DownstreamLevelsConfig::default()),
            service: "archive".into(),
            slots: vec![Duration::ZERO; SLOTS as usize],
            requests: Map::default(),
            events: BinaryHeap::new(),
            sequence: 0,
            out: Out::default(),
        }
    }

    fn run(mut self) -> Out {
        self.schedule(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > LENGTH {
                break;
            }
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::Done(key) => self.done(key),
                Event::Wake => {}
            }
            self.poll();
        }
        self.out
    }

    fn arrive(&mut self) {
        let gap = self.exponential() / (request_capacity() * self.load);
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrive);
        let class = Class(if self.rng.random_bool(0.1) { 0 } else { 2 });
        let bucket = self.rng.random();
        self.out.offered[usize::from(class == Class::HIGHEST)] += 1;
        let now = self.epoch + self.now;
        let at_entry = self.shedding == Shedding::Entry;
        if at_entry && !self.levels.admits(&self.service, class, bucket, now) {
            self.out.at_entry += 1;
            return;
        }
        self.call(Request {
            class,
            bucket,
            deadline: self.now + DEADLINE,
            completed_calls: 0,
        });
    }

    fn call(&mut self, mut request: Request) {
        if self.shedding == Shedding::Random {
            request.bucket = self.rng.random();
        }
        let Request {
            class,
            bucket,
            deadline,
            ..
        } = request;
        let offer = Offer {
            class,
            bucket,
            deadline: self.epoch + deadline,
        };
        let key = self.admission.offer(offer, self.epoch + self.now);
        self.requests.insert(key, request);
    }

    fn poll(&mut self) {
        let now = self.epoch + self.now;
        let mut actions = Vec::new();
        self.admission.poll(now, &mut actions);
        for action in actions {
            match action {
                Action::Start(key) => self.start(key),
                Action::Refuse(key, _) => self.refused(key),
            }
        }
        if let Some(wakeup) = self.admission.next_wakeup() {
            let step = Duration::from_millis(10);
            let wakeup = wakeup.saturating_duration_since(self.epoch);
            if self.events.len() < 200 {
                self.schedule(wakeup.max(self.now + step), Event::Wake);
            }
        }
    }

    fn start(&mut self, key: CallKey) {
        let work = SERVICE.mul_f64(self.exponential());
        let now = self.now;
        let slot = self.slots.iter_mut().min().expect("a slot");
        *slot = (*slot).max(now) + work;
        let end = *slot;
        self.schedule(end, Event::Done(key));
    }

    fn done(&mut self, key: CallKey) {
        let now = self.epoch + self.now;
        self.admission.finish(key, Finish::Served, now);
        self.record_level();
        let mut request = self.requests.remove(&key).expect("a started call");
        request.completed_calls += 1;
        if self.now > request.deadline {
            self.out.wasted += request.completed_calls;
        } else if request.completed_calls < CALLS {
            self.call(request);
        } else {
            self.out.good += 1;
            self.out.top_good += u32::from(request.class == Class::HIGHEST);
        }
    }

    fn refused(&mut self, key: CallKey) {
        self.record_level();
        let request = self.requests.remove(&key).expect("a waiting call");
        self.out.wasted += request.completed_calls;
    }

    fn record_level(&mut self) {
        let now = self.epoch + self.now;
        self.levels
            .record(&self.service, self.admission.level(), now);
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }
}

/// Requests per second that the service can serve as a whole.
fn request_capacity() -> f64 {
    f64::from(SLOTS) / SERVICE.as_secs_f64() / f64::from(CALLS)
}

/// Each request calls the overloaded service three times. If every call is shed independently, most requests fail after
/// the first or second call, and the service is busy although few requests complete. The same happens if the entry
/// forwards requests that will be shed downstream.
#[test]
fn requests_are_kept_or_shed_as_a_whole() {
    for load in [2.0, 4.0, 8.0] {
        let [random, level, entry] =
            [Shedding::Random, Shedding::Level, Shedding::Entry].map(|shedding| {
                let out = Model::new(shedding, load).run();
                let good = f64::from(out.good) / (request_capacity() * LENGTH.as_secs_f64());
                println!(
                    "{load} x {:8} whole requests {:5.1} % of capacity, top {:5.1} %, wasted calls {:5}, refused at entry {:5}",
                    format!("{shedding:?}"),
                    100.0 * good,
                    100.0 * f64::from(out.top_good) / f64::from(out.offered[1]),
                    out.wasted,
                    out.at_entry,
                );
                good
            });
        assert!(level > random && entry > random, "{load} x");
        assert!(entry > 0.75, "{load} x: {entry}");
    }
}
