//! Scenarios of one workspace on a fleet, and the summary of their runs.

use coltsfootport_core::workspace::Quota;

use crate::model::Model;

/// Window in which a quota is counted, in seconds.
pub const WINDOW_S: f64 = 5.0;

/// Share that may be admitted beyond the quota, as documented for operators.
const OVERAGE: f64 = 0.25;

/// Number of requests that may be admitted in addition.
const SLACK: f64 = 20.0;

/// Connectivity of the nodes that are partitioned off. All of them lose the publisher.
#[derive(Clone, Copy, Debug)]
pub enum PartitionKind {
    /// They reach each other, but no other node.
    Connected,
    /// They reach no other node.
    Isolated,
    /// They receive nothing.
    SendOnly,
    /// Nothing they send is received.
    ReceiveOnly,
}

/// A temporary network partition.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// Share of the nodes that are partitioned off.
    pub share: f64,
    /// Start in seconds.
    pub from: f64,
    /// End in seconds.
    pub until: f64,
    pub kind: PartitionKind,
}

/// Load of one workspace on a fleet, and the failures during it. Times are in seconds from the start of the fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub quota: Quota,
    /// Requests per second over all entries, each from the given time on. There are none for `warmup_s` after a
    /// restart.
    pub demand: Vec<(f64, f64)>,
    /// Time from which a lower quota applies.
    pub lowered: Option<(f64, Quota)>,
    /// Nodes below the given index and the others can't reach each other between the two times. All reach the
    /// publisher.
    pub split: Option<(usize, f64, f64)>,
    /// Partitions from other nodes and from the publisher, which drops the entries of silent nodes after a while.
    pub partitions: Vec<Partition>,
    /// Time from which the given number of homes are down.
    pub lost_homes: Option<(f64, usize)>,
    /// Times at which all nodes restart.
    pub restarts: Vec<f64>,
    /// Time after a restart without requests: callers don't use a node until it reports that it is ready.
    pub warmup_s: f64,
    pub seconds: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 58,
            quota: quota(35.0),
            demand: vec![(1.0, 22.0)],
            lowered: None,
            split: None,
            partitions: Vec::new(),
            lost_homes: None,
            restarts: Vec::new(),
            warmup_s: 0.0,
            seconds: 20.0,
        }
    }
}

/// Results of one run, or of several.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Maximum of the requests admitted in a window, as a share of the bound.
    pub max_load: f64,
    /// Share of the requests that were refused while the demand was within the quota.
    pub refused: f64,
    /// Messages sent per second and node.
    pub messages: f64,
}

/// Runs of each load pattern. One run of the smallest workspace has a hundred requests, too few to measure a refusal
/// rate of 1%.
pub const PATTERN_RUNS: u64 = 20;

/// Runs of each partition pattern.
pub const PARTITION_RUNS: u64 = 5;

impl Summary {
    /// Runs a scenario with several seeds. Returns the maximum load of all runs, and the mean of the other results.
    pub fn of_runs(scenario: &Scenario, runs: u64) -> Self {
        let share = 1.0 / runs as f64;
        let runs = (0..runs).map(|seed| Model::new(scenario, seed).run());
        runs.fold(Self::default(), |sum, run| Self {
            max_load: sum.max_load.max(run.max_load),
            refused: sum.refused + run.refused * share,
            messages: sum.messages + run.messages * share,
        })
    }
}

/// Returns a quota whose burst is the requests of one second.
pub fn quota(per_second: f64) -> Quota {
    Quota {
        per_second,
        burst: per_second,
    }
}

/// Returns the maximum number of requests that may be admitted in a window.
pub fn bound(quota: Quota) -> f64 {
    (quota.per_second * WINDOW_S + quota.burst) * (1.0 + OVERAGE) + SLACK
}
