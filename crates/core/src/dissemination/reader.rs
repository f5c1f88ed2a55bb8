//! Which nodes read the platform, and when.

mod config;

use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::NodeName;
use crate::membership::View;

use super::rendezvous;

pub use config::ReaderConfig;

/// Time in which the news of a read reaches all nodes through digests.
const TELLING: Duration = Duration::from_secs(8);

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
    /// Peers tell of recent reads, so they will also tell of changes.
    Slow,
    /// No peer has told of a recent read.
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
    /// When the platform was last read by anybody known of.
    fresh_at: Option<Instant>,
    /// The same as far as peers have told.
    told_at: Option<Instant>,
    plan: Option<Plan>,
}

impl ReaderPolicy {
    /// A node that has read nothing yet.
    pub fn new(cfg: ReaderConfig) -> Self {
        // With a shorter age every watch that waits in vain would make the readers look dead, seen as urgent reads of the
        // whole fleet while nothing changes.
        let fresh_for = cfg.fresh_for.max(cfg.watch_wait + TELLING);
        Self {
            cfg: ReaderConfig { fresh_for, ..cfg },
            fleet: 0,
            reader: false,
            in_flight: false,
            failures: 0,
            fresh_at: None,
            told_at: None,
            plan: None,
        }
    }

    /// Whether a node is among the readers of its failure domain, as far as a view tells.
    ///
    /// Nodes that can't be reached or leave are replaced by the next in order, of which there are only a few. If any
    /// node could replace them, a fault that cuts every node off from every other (an expired certificate) would make
    /// all of them readers, seen as watches beyond what the platform bears.
    pub fn is_reader(&self, me: &NodeName, view: &View, _now: Instant) -> bool {
        let Some(own) = view.get(me) else {
            return false;
        };
        let listed = view.all().filter(|entry| entry.domain == own.domain);
        let purpose: [&[u8]; 2] = [b"reader", own.domain.as_str().as_bytes()];
        let names = listed.map(|entry| entry.node.as_str());
        let candidates = rendezvous::best(
            &purpose,
            names,
            self.cfg.readers_per_domain + self.cfg.spares,
        );
        candidates
            .into_iter()
            .filter(|name| *name == me.as_str() || view.is_present(&NodeName::from(*name)))
            .take(self.cfg.readers_per_domain)
            .any(|name| name == me.as_str())
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
        self.told_at = self.told_at.max(Some(at));
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
        // Peers get their time to be heard after the first read, before their silence means anything.
        self.told_at.get_or_insert(now);
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
        if self.fresh_at.is_none() {
            return Pace::Start;
        }
        if self.reader {
            return Pace::Watch;
        }
        // Reads of its own don't count: a node that no peer reaches would take them for a sign that the readers will
        // tell it of changes, seen as documents that come into force late on that node.
        match self.told_at {
            Some(at) if now.saturating_duration_since(at) <= self.cfg.fresh_for => Pace::Slow,
            _ => Pace::Urgent,
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
                let spread = self.share_of(self.cfg.urgent_rate);
                (spread * backoff).mul_f64(rng.random_range(0.0..1.0))
            }
            Pace::Watch => (self.cfg.retry * backoff).mul_f64(jitter(rng)),
            Pace::Slow => {
                let interval = self.share_of(self.cfg.slow_rate);
                interval.max(self.cfg.slow_interval).mul_f64(jitter(rng))
            }
            Pace::Urgent => {
                let interval = self.share_of(self.cfg.urgent_rate);
                (interval.max(self.cfg.retry) * backoff).mul_f64(jitter(rng))
            }
        }
    }

    /// Interval at which each node reads when all together make `rate` calls a second.
    fn share_of(&self, rate: f64) -> Duration {
        let fleet = if self.fleet == 0 {
            self.cfg.start_fleet
        } else {
            self.fleet
        };
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
