//! Selection of the nodes that read the platform, and scheduling of their reads.

mod config;

use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::NodeName;
use crate::membership::View;

use super::rendezvous;

pub use config::ReaderConfig;

/// Time within which digests propagate the age of a read to all nodes.
const PROPAGATION_TIME: Duration = Duration::from_secs(8);

/// Next platform read of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Start a watch now that waits at most [`ReaderConfig::watch_wait`].
    Watch,
    /// Read without waiting at this time. Call [`ReaderPolicy::next_read`] again by then and after each event.
    At(Instant),
}

/// How often a node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    /// No read has succeeded or been reported yet.
    Start,
    /// This node is a reader.
    Watch,
    /// Peers report recent reads, so they will also forward changes.
    Slow,
    /// No peer has reported a recent read.
    Urgent,
}

#[derive(Clone, Copy, Debug)]
struct ScheduledRead {
    mode: ReadMode,
    at: Instant,
}

/// Determines whether this node is a reader of its failure domain, and when it reads the platform.
///
/// Readers are not elected: each node computes them from its own membership view. Views that differ may yield different
/// readers or none. This causes additional or delayed reads but never a wrong document, since revisions order the
/// versions.
#[derive(Clone, Debug)]
pub struct ReaderPolicy {
    cfg: ReaderConfig,
    fleet_size: usize,
    is_reader: bool,
    in_flight: bool,
    failures: u32,
    /// Time of the last known read of the platform by any node, including this one.
    last_read_at: Option<Instant>,
    /// Time of the last read reported by peers. Set to the time of the first own read if no peer reported one before.
    last_peer_read_at: Option<Instant>,
    scheduled: Option<ScheduledRead>,
}

impl ReaderPolicy {
    /// Creates the policy of a node that has read nothing yet.
    pub fn new(cfg: ReaderConfig) -> Self {
        // With a lower limit, every watch that times out without changes would make the readers look dead, and the
        // whole fleet would do urgent reads while nothing changes.
        let max_read_age = cfg.max_read_age.max(cfg.watch_wait + PROPAGATION_TIME);
        Self {
            cfg: ReaderConfig {
                max_read_age,
                ..cfg
            },
            fleet_size: 0,
            is_reader: false,
            in_flight: false,
            failures: 0,
            last_read_at: None,
            last_peer_read_at: None,
            scheduled: None,
        }
    }

    /// Whether a node is a reader of its failure domain according to a view.
    ///
    /// Readers that are unreachable or leaving are replaced by the next of a few spare nodes in rank order. If any node
    /// could replace them, a fault that isolates all nodes from each other, such as an expired certificate, would make
    /// every node a reader and overload the platform with watches.
    pub fn is_reader(&self, me: &NodeName, view: &View, _now: Instant) -> bool {
        let Some(own) = view.get(me) else {
            return false;
        };
        let listed = view.all().filter(|entry| entry.domain == own.domain);
        let scope: [&[u8]; 2] = [b"reader", own.domain.as_str().as_bytes()];
        let names = listed.map(|entry| entry.node.as_str());
        let candidates = rendezvous::top_ranked(
            &scope,
            names,
            self.cfg.readers_per_domain + self.cfg.spare_readers,
        );
        candidates
            .into_iter()
            .filter(|name| *name == me.as_str() || view.is_present(&NodeName::from(*name)))
            .take(self.cfg.readers_per_domain)
            .any(|name| name == me.as_str())
    }

    /// Applies a changed view.
    pub fn update_view(&mut self, me: &NodeName, view: &View, now: Instant) {
        self.fleet_size = view.len();
        self.is_reader = self.is_reader(me, view, now);
    }

    /// Records the age of the last platform read by any node, as reported by a peer.
    ///
    /// The age is too low by the transit time of the message.
    pub fn record_peer_read_age(&mut self, age: Duration, now: Instant) {
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        self.last_read_at = self.last_read_at.max(Some(at));
        self.last_peer_read_at = self.last_peer_read_at.max(Some(at));
    }

    /// Age of the last known platform read by any node, to be reported to peers.
    pub fn read_age(&self, now: Instant) -> Option<Duration> {
        self.last_read_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Marks a read as in flight. Returns `false` if one already is; its answer then serves both callers.
    pub fn try_begin_read(&mut self) -> bool {
        !std::mem::replace(&mut self.in_flight, true)
    }

    /// Records that the platform answered a read or watch.
    pub fn read_succeeded(&mut self, now: Instant) {
        self.in_flight = false;
        self.failures = 0;
        self.last_read_at = Some(now);
        // Gives peers time to report a read after the first own read, before their silence counts.
        self.last_peer_read_at.get_or_insert(now);
        self.scheduled = None;
    }

    /// Records that a read or watch failed or timed out.
    pub fn read_failed(&mut self, _now: Instant) {
        self.in_flight = false;
        self.failures = self.failures.saturating_add(1);
        self.scheduled = None;
    }

    /// Returns the next read. To be called after each recorded event and once per second.
    pub fn next_read<R>(&mut self, now: Instant, rng: &mut R) -> NextRead
    where
        R: Rng + ?Sized,
    {
        let mode = self.read_mode(now);
        if mode == ReadMode::Watch && self.failures == 0 {
            return NextRead::Watch;
        }
        // The delay is drawn once. Drawing it at each call and acting on the earliest time would cancel the jitter and
        // cause bursts of reads from the whole fleet.
        if let Some(scheduled) = self.scheduled
            && scheduled.mode == mode
        {
            return NextRead::At(scheduled.at);
        }
        let at = now + self.delay(mode, rng);
        self.scheduled = Some(ScheduledRead { mode, at });
        NextRead::At(at)
    }

    fn read_mode(&self, now: Instant) -> ReadMode {
        if self.last_read_at.is_none() {
            return ReadMode::Start;
        }
        if self.is_reader {
            return ReadMode::Watch;
        }
        // The node's own reads don't count. Otherwise a node that no peer can reach would rely on readers whose changes
        // never arrive, and documents would come into force late on that node.
        match self.last_peer_read_at {
            Some(at) if now.saturating_duration_since(at) <= self.cfg.max_read_age => {
                ReadMode::Slow
            }
            _ => ReadMode::Urgent,
        }
    }

    fn delay<R>(&self, mode: ReadMode, rng: &mut R) -> Duration
    where
        R: Rng + ?Sized,
    {
        let backoff = 1 << self.failures.min(self.cfg.max_backoff_doublings);
        match mode {
            // All nodes may start at the same time, for instance after a power failure, and none knows the fleet size
            // yet.
            ReadMode::Start => {
                let max_delay = self.interval_at_rate(self.cfg.urgent_rate);
                (max_delay * backoff).mul_f64(rng.random_range(0.0..1.0))
            }
            ReadMode::Watch => (self.cfg.retry_interval * backoff).mul_f64(jitter(rng)),
            ReadMode::Slow => {
                let interval = self.interval_at_rate(self.cfg.slow_rate);
                interval.max(self.cfg.slow_interval).mul_f64(jitter(rng))
            }
            ReadMode::Urgent => {
                let interval = self.interval_at_rate(self.cfg.urgent_rate);
                (interval.max(self.cfg.retry_interval) * backoff).mul_f64(jitter(rng))
            }
        }
    }

    /// Read interval per node at which the whole fleet makes `rate` calls per second.
    fn interval_at_rate(&self, rate: f64) -> Duration {
        let fleet_size = if self.fleet_size == 0 {
            self.cfg.start_fleet
        } else {
            self.fleet_size
        };
        let calls = fleet_size as f64 * f64::from(self.cfg.calls_per_read);
        Duration::from_secs_f64(calls / rate.max(1.0))
    }
}

fn jitter<R>(rng: &mut R) -> f64
where
    R: Rng + ?Sized,
{
    rng.random_range(0.5..1.5)
}
