//! One workspace on a fleet, and what came of it.

use coltsfootport_core::workspace::Quota;

use crate::model::Model;

/// Window in which a quota is counted, in seconds.
pub const WINDOW_S: f64 = 5.0;

/// Share beyond the quota that may run, as operators are promised.
const OVERAGE: f64 = 0.25;

/// Requests besides.
const SLACK: f64 = 20.0;

/// How nodes are cut off. All of them lose the publisher.
#[derive(Clone, Copy, Debug)]
pub enum CutKind {
    /// They reach each other.
    Together,
    /// They reach nobody.
    Alone,
    /// Nothing gets to them.
    Deaf,
    /// Nothing gets from them to others.
    Mute,
}

/// Nodes that are cut off for a time.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Share of the nodes.
    pub share: f64,
    pub from: f64,
    pub until: f64,
    pub kind: CutKind,
}

/// One workspace on a fleet, from its beginning on.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub quota: Quota,
    /// Requests a second over all entries, from a moment on; none come within the first seconds after a start.
    pub demand: Vec<(f64, f64)>,
    /// Changes of the quota, from a moment on.
    pub lowered: Option<(f64, Quota)>,
    /// Nodes below this number can't reach the others, and these not them, during that time.
    pub cut: Option<(usize, f64, f64)>,
    /// Nodes that are cut off from others and from the publisher, which drops their entries in time.
    pub cuts: Vec<Cut>,
    /// Nodes that are gone as homes, and at this moment.
    pub lost: Option<(f64, usize)>,
    /// All nodes start anew at these moments.
    pub restarts: Vec<f64>,
    /// Time after a restart in which no request comes: callers don't use a node until it says that it is ready.
    pub warm_s: f64,
    pub seconds: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 58,
            quota: quota(35.0),
            demand: vec![(1.0, 22.0)],
            lowered: None,
            cut: None,
            cuts: Vec::new(),
            lost: None,
            restarts: Vec::new(),
            warm_s: 0.0,
            seconds: 20.0,
        }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Found {
    /// Most that ran in a window, as a share of the bound.
    pub over: f64,
    /// Share of the requests that were refused although no more came than the quota allows.
    pub refused: f64,
    /// Messages a second that one node sends.
    pub messages: f64,
}

/// Plays of each pattern. A play of the smallest workspace has a hundred requests, in which a hundredth can't be measured.
pub const PLAYS: u64 = 20;

/// Plays of each cut.
pub const CUT_PLAYS: u64 = 5;

impl Found {
    /// The most that ran in any play, and the mean of the rest.
    pub fn over(scenario: &Scenario, plays: u64) -> Self {
        let share = 1.0 / plays as f64;
        let plays = (0..plays).map(|seed| Model::new(scenario, seed).run());
        plays.fold(Self::default(), |sum, found| Self {
            over: sum.over.max(found.over),
            refused: sum.refused + found.refused * share,
            messages: sum.messages + found.messages * share,
        })
    }
}

pub fn quota(per_second: f64) -> Quota {
    Quota {
        per_second,
        burst: per_second,
    }
}

pub fn bound(quota: Quota) -> f64 {
    (quota.per_second * WINDOW_S + quota.burst) * (1.0 + OVERAGE) + SLACK
}
