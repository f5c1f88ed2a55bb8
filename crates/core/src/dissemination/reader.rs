//! Which nodes read the platform, and when.

mod config;

use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::NodeName;
use crate::membership::View;

use super::rendezvous;

pub use config::ReaderConfig;

/// What a node does next towards the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Start a watch now, of [`ReaderConfig::watch_wait`] at most.
    Watch,
    /// Read without waiting at this time; ask again by then, and after each event.
    At(Instant),
}

/// How fast a node reads, which follows from what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// Nothing read or heard yet.
    Start,
    /// This node is a reader.
    Watch,
    /// The readers are known to read.
    Slow,
    /// No read of any reader has been heard of for long.
    Urgent,
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    pace: Pace,
    at: Instant,
}

/// Decides whether this node is one of the readers of its failure domain and when it reads the platform itself.
///
/// Readers are not elected: each node computes them from its own view. Two views may name different readers or none;
/// then there are more reads or later ones, and never a wrong document, since revisions order them.
#[derive(Clone, Debug)]
pub struct ReaderPolicy {
    cfg: ReaderConfig,
    fleet: usize,
    reader: bool,
    in_flight: bool,
    failures: u32,
    fresh_at: Option<Instant>,
    plan: Option<Plan>,
}

impl ReaderPolicy {
    /// A node that has read nothing yet.
    pub fn new(cfg: ReaderConfig) -> Self {
        Self {
            cfg,
            fleet: 0,
            reader: false,
            in_flight: false,
            failures: 0,
            fresh_at: None,
            plan: None,
        }
    }

    /// Whether a node is among the readers of its failure domain, as far as a view tells.
    pub fn is_reader(&self, me: &NodeName, view: &View, _now: Instant) -> bool {
        let Some(own) = view.get(me) else {
            return false;
        };
        let candidates = view
            .all()
            .filter(|entry| entry.domain == own.domain)
            .filter(|entry| entry.node == *me || view.is_present(&entry.node))
            .map(|entry| entry.node.as_str());
        let purpose: [&[u8]; 2] = [b"reader", own.domain.as_str().as_bytes()];
        rendezvous::best(&purpose, candidates, self.cfg.readers_per_domain).contains(&me.as_str())
    }

    /// The view has changed.
    pub fn observe(&mut self, me: &NodeName, view: &View, now: Instant) {
        self.fleet = view.len();
        self.reader = self.is_reader(me, view, now);
    }

    /// A peer's message says how long ago the platform was read by anybody that it knows of.
    ///
    /// Time under way makes the age too small by that much.
    pub fn heard_fresh(&mut self, age: Duration, now: Instant) {
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// How long ago the platform was read by anybody that this node knows of, to be told to peers.
    pub fn read_age(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|at| now.saturating_duration_since(at))
    }

    /// A read is wanted. Returns whether to send it; otherwise one is under way and its answer serves this one too.
    pub fn begin_read(&mut self) -> bool {
        !std::mem::replace(&mut self.in_flight, true)
    }

    /// The platform answered a read or watch.
    pub fn read_done(&mut self, now: Instant) {
        self.in_flight = false;
        self.failures = 0;
        self.fresh_at = Some(now);
        self.plan = None;
    }

    /// A read or watch failed or timed out.
    pub fn read_failed(&mut self, _now: Instant) {
        self.in_flight = false;
        self.failures = self.failures.saturating_add(1);
        self.plan = None;
    }

    /// What to do next; asked after each of the events above and once a second.
    pub fn next_read<R>(&mut self, now: Instant, rng: &mut R) -> NextRead
    where
        R: Rng + ?Sized,
    {
        let pace = self.pace(now);
        if pace == Pace::Watch && self.failures == 0 {
            return NextRead::Watch;
        }
        // The time is drawn once: drawing again at each question and taking the earliest would undo the jitter, seen
        // as bursts of reads from the whole fleet.
        if let Some(plan) = self.plan
            && plan.pace == pace
        {
            return NextRead::At(plan.at);
        }
        let at = now + self.delay(pace, rng);
        self.plan = Some(Plan { pace, at });
        NextRead::At(at)
    }

    fn pace(&self, now: Instant) -> Pace {
        let age = self.read_age(now);
        match age {
            None => Pace::Start,
            _ if self.reader => Pace::Watch,
            Some(age) if age <= self.cfg.fresh_for => Pace::Slow,
            Some(_) => Pace::Urgent,
        }
    }

    fn delay<R>(&self, pace: Pace, rng: &mut R) -> Duration
    where
        R: Rng + ?Sized,
    {
        let backoff = 1 << self.failures.min(self.cfg.max_doublings);
        match pace {
            // All nodes may start at the same moment, after a loss of power, and none knows how many there are.
            Pace::Start => {
                let spread =
                    self.share_of(self.cfg.urgent_rate, self.fleet.max(self.cfg.start_fleet));
                (spread * backoff).mul_f64(rng.random_range(0.0..1.0))
            }
            Pace::Watch => (self.cfg.retry * backoff).mul_f64(jitter(rng)),
            Pace::Slow => {
                let interval = self.share_of(self.cfg.slow_rate, self.fleet);
                interval.max(self.cfg.slow_interval).mul_f64(jitter(rng))
            }
            Pace::Urgent => {
                let interval = self.share_of(self.cfg.urgent_rate, self.fleet);
                (interval.max(self.cfg.retry) * backoff).mul_f64(jitter(rng))
            }
        }
    }

    /// Interval at which each of `fleet` nodes reads when all together make `rate` calls a second.
    fn share_of(&self, rate: f64, fleet: usize) -> Duration {
        let calls = fleet as f64 * f64::from(self.cfg.calls_per_read);
        Duration::from_secs_f64(calls / rate.max(1.0))
    }
}

fn jitter<R>(rng: &mut R) -> f64
where
    R: Rng + ?Sized,
{
    rng.random_range(0.5..1.5)
}
