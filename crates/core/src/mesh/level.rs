//! Overload level of a target: which ranks, and which share of the next rank, entry nodes should shed.

use std::time::{Duration, Instant};

/// How the overload level follows the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelConfig {
    /// Load up to which requests are admitted, as the ratio of the arriving work to the work that the slots can do.
    ///
    /// Slightly above 1 keeps all slots busy; the resulting queue is counted as backlog as soon as it forms. At 0.9,
    /// 3% fewer requests are served in surges; 1.0 and 1.1 perform alike.
    pub target_load: f64,
    /// Window over which arrivals are averaged.
    pub load_window: Duration,
    /// Maximum level with three ranks or fewer; each whole step sheds one more rank completely.
    pub max: f64,
}

impl Default for LevelConfig {
    fn default() -> Self {
        Self {
            target_load: 1.05,
            load_window: Duration::from_millis(400),
            max: 2.5,
        }
    }
}

/// Number of distinct shed orders; more urgent ranks are counted with the last one.
const MAX_SHED_ORDERS: usize = 16;

/// Share of the most urgent rank that is still admitted at the maximum level, so that responses keep reporting the
/// level and callers notice a recovery.
const MIN_ADMITTED_AT_MAX_LEVEL: f64 = 0.5;

/// Lower bound of the admitted share used to extrapolate an arrival. Below it, a single request would stand for so many
/// that the load of its rank would jump with each arrival.
const MIN_ADMITTED_SHARE: f64 = 0.03;

/// Tracks the load of one target and derives its overload level.
///
/// Each request carries the share of similar requests that entry nodes admitted. Dividing its expected work by that
/// share and summing up estimates the load that would arrive without shedding. The level follows directly from this
/// estimate: the most urgent ranks are admitted first, then as much of the next rank as the remaining capacity allows.
///
/// A feedback controller that integrates the remaining load or wait does not know how much a step changes, and sees the
/// effect only after the upstream calls have run. It keeps rising while the queue of a surge drains, falls once
/// callers have left, and diverges between the hosts of a service: some at their maximum level, others idle.
#[derive(Clone, Debug)]
pub struct LevelControl {
    cfg: LevelConfig,
    level: f64,
    /// Number of ranks that requests can have.
    ranks: usize,
    /// Load of the requests that arrive, after shedding.
    load: f64,
    /// Estimated load without shedding, by shed order; 0 is shed first.
    offered: [f64; MAX_SHED_ORDERS],
    arrivals: Arrivals,
    updated: Instant,
}

/// Work that has arrived since the last update, in slot seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    work: f64,
    offered: [f64; MAX_SHED_ORDERS],
}

impl LevelControl {
    /// Creates a control with no load and level 0.
    pub fn new(cfg: LevelConfig, now: Instant) -> Self {
        Self {
            cfg,
            level: 0.0,
            ranks: 0,
            load: 0.0,
            offered: [0.0; MAX_SHED_ORDERS],
            arrivals: Arrivals::default(),
            updated: now,
        }
    }

    /// Replaces the configuration; the level stays until the next update.
    pub fn set_config(&mut self, cfg: LevelConfig) {
        self.cfg = cfg;
    }

    /// Sets the number of ranks that requests can have.
    pub fn set_ranks(&mut self, ranks: usize) {
        self.ranks = ranks.min(MAX_SHED_ORDERS);
    }

    /// Records the arrival of a request that is expected to hold a slot for `work` seconds. `admitted` is the share of
    /// similar requests that entry nodes admitted.
    pub fn record_arrival(&mut self, shed_order: usize, work: f64, admitted: f64) {
        self.arrivals.work += work;
        self.arrivals.offered[shed_order.min(MAX_SHED_ORDERS - 1)] +=
            work / admitted.clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// Recomputes the level from the arrivals since the last update.
    ///
    /// `backlog` is the extra load, in slots per slot, that is needed to drain the queue in time.
    pub fn update(&mut self, slots: f64, backlog: &Backlog, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated = now;
        let arrivals = std::mem::take(&mut self.arrivals);
        let weight = (elapsed / self.cfg.load_window.as_secs_f64()).min(1.0);
        let capacity = elapsed * slots.max(1.0);
        self.load += weight * (arrivals.work / capacity - self.load);
        for (offered, newest) in self.offered.iter_mut().zip(arrivals.offered) {
            *offered += weight * (newest / capacity - *offered);
        }
        let max = self
            .cfg
            .max
            .max(self.ranks as f64 - MIN_ADMITTED_AT_MAX_LEVEL);
        self.level = self.lowest_sufficient_level(backlog).min(max);
    }

    /// The overload level; 0 means no overload.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Ratio of the arriving work to the work that the slots can do.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Lowest overload level at which the admitted load fits the remaining capacity: the shed order of the rank that is
    /// shed in part, plus the share of it that is shed.
    ///
    /// Queued requests use capacity of their own rank and of those that are served after it. If the queue counted
    /// against all ranks, urgent requests would be shed for a long queue of a less urgent rank although they are served
    /// before it: in a surge with a slow last service, 0.79 of them would be served instead of 0.90.
    fn lowest_sufficient_level(&self, backlog: &Backlog) -> f64 {
        let mut capacity = self.cfg.target_load;
        for (shed_order, offered) in self.offered.iter().enumerate().rev() {
            capacity = (capacity - backlog.by_shed_order[shed_order]).max(0.0);
            if *offered > capacity {
                return shed_order as f64 + 1.0 - capacity / offered;
            }
            capacity -= offered;
        }
        0.0
    }
}

/// Load added by queued requests, by shed order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    by_shed_order: [f64; MAX_SHED_ORDERS],
}

impl Backlog {
    /// Adds the load of queued requests with the given shed order.
    pub fn add(&mut self, shed_order: usize, load: f64) {
        self.by_shed_order[shed_order.min(MAX_SHED_ORDERS - 1)] += load;
    }
}
