//! Connectivity between nodes and to the publisher, and the list of nodes that each node sees.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::scenario::{Partition, PartitionKind, Scenario};

/// Time without a node's heartbeat after which its entry expires, in seconds.
const EXPIRES_AFTER_S: f64 = 4.5;

/// Maximum time from the end of a partition until the entries are published again, in seconds.
const MAX_RETURN_S: f64 = 2.0;

/// Maximum time until a change of the published list reaches a node, in seconds.
const MAX_UPDATE_DELAY_S: f64 = 0.3;

/// A partition with the nodes drawn for it.
#[derive(Clone, Debug)]
struct DrawnPartition {
    partition: Partition,
    members: Vec<bool>,
    /// When the entries of all members are published again.
    returned_s: f64,
}

/// Links between nodes, with partitions and lost nodes.
#[derive(Clone, Debug)]
pub struct Links {
    split: Option<(usize, f64, f64)>,
    lost_homes: Option<(f64, usize)>,
    partitions: Vec<DrawnPartition>,
    /// Time until a change of the published list reaches each node.
    update_delays_s: Vec<f64>,
}

impl Links {
    pub fn new(scenario: &Scenario, rng: &mut SmallRng) -> Self {
        let nodes = scenario.nodes;
        let draw = |partition: &Partition, rng: &mut SmallRng| DrawnPartition {
            partition: *partition,
            members: (0..nodes)
                .map(|_| rng.random_bool(partition.share))
                .collect(),
            returned_s: partition.until + rng.random_range(0.0..MAX_RETURN_S),
        };
        Self {
            split: scenario.split,
            lost_homes: scenario.lost_homes,
            partitions: scenario
                .partitions
                .iter()
                .map(|partition| draw(partition, rng))
                .collect(),
            update_delays_s: (0..nodes)
                .map(|_| rng.random_range(0.0..MAX_UPDATE_DELAY_S))
                .collect(),
        }
    }

    /// Returns whether a message from one node to another is delivered.
    pub fn delivers(&self, from: usize, to: usize, homes: &[usize], at_s: f64) -> bool {
        if from == to {
            return true;
        }
        let is_lost = |node: usize| {
            self.lost_homes.is_some_and(|(since, count)| {
                at_s >= since && homes.iter().take(count).any(|home| *home == node)
            })
        };
        if is_lost(to) || is_lost(from) {
            return false;
        }
        if let Some((first, since, until)) = self.split
            && (since..until).contains(&at_s)
            && (from < first) != (to < first)
        {
            return false;
        }
        self.partitions
            .iter()
            .all(|drawn| drawn.delivers(from, to, at_s))
    }

    /// Returns the time since a node last reached the publisher, in seconds.
    pub fn publisher_silent_s(&self, node: usize, at_s: f64) -> f64 {
        let containing = self.partitions.iter().filter(|drawn| drawn.members[node]);
        let active = containing.filter(|drawn| drawn.is_active(at_s));
        active
            .map(|drawn| at_s - drawn.partition.from)
            .fold(0.0, f64::max)
    }

    /// Returns the published nodes as seen by a node, or `None` while it does not reach the publisher.
    pub fn listed(&self, node: usize, at_s: f64) -> Option<Vec<usize>> {
        if self.publisher_silent_s(node, at_s) > 0.0 {
            return None;
        }
        let published_s = at_s - self.update_delays_s[node];
        let is_expired = |other: usize| {
            self.partitions.iter().any(|drawn| {
                let expires_s = drawn.partition.from + EXPIRES_AFTER_S;
                drawn.members[other]
                    && expires_s < drawn.partition.until
                    && (expires_s..drawn.returned_s).contains(&published_s)
            })
        };
        let nodes = 0..self.update_delays_s.len();
        Some(nodes.filter(|other| !is_expired(*other)).collect())
    }
}

impl DrawnPartition {
    fn is_active(&self, at_s: f64) -> bool {
        (self.partition.from..self.partition.until).contains(&at_s)
    }

    fn delivers(&self, from: usize, to: usize, at_s: f64) -> bool {
        if !self.is_active(at_s) {
            return true;
        }
        match self.partition.kind {
            PartitionKind::Connected => self.members[from] == self.members[to],
            PartitionKind::Isolated => !self.members[from] && !self.members[to],
            PartitionKind::SendOnly => !self.members[to],
            PartitionKind::ReceiveOnly => !self.members[from],
        }
    }
}
