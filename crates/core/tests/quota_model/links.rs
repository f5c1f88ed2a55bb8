//! Which nodes reach each other and the publisher, and whom each takes to be published.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::scenario::{Cut, CutKind, Scenario};

/// Time without a node's heartbeat after which its entry is dropped, in seconds.
const LAPSES_AFTER_S: f64 = 4.5;

/// Time after the end of a cut in which the entries come back, in seconds.
const BACK_WITHIN_S: f64 = 2.0;

/// Time until a change of the published list has reached a node, in seconds.
const NEWS_WITHIN_S: f64 = 0.3;

/// A cut with the nodes that were drawn for it.
#[derive(Clone, Debug)]
struct DrawnCut {
    cut: Cut,
    members: Vec<bool>,
    /// When the entries of all members are back.
    back_s: f64,
}

/// Links between nodes, with cuts.
#[derive(Clone, Debug)]
pub struct Links {
    split: Option<(usize, f64, f64)>,
    lost: Option<(f64, usize)>,
    cuts: Vec<DrawnCut>,
    /// Delay of news at each node.
    news_s: Vec<f64>,
}

impl Links {
    pub fn new(scenario: &Scenario, rng: &mut SmallRng) -> Self {
        let nodes = scenario.nodes;
        let draw = |cut: &Cut, rng: &mut SmallRng| DrawnCut {
            cut: *cut,
            members: (0..nodes).map(|_| rng.random_bool(cut.share)).collect(),
            back_s: cut.until + rng.random_range(0.0..BACK_WITHIN_S),
        };
        Self {
            split: scenario.cut,
            lost: scenario.lost,
            cuts: scenario.cuts.iter().map(|cut| draw(cut, rng)).collect(),
            news_s: (0..nodes)
                .map(|_| rng.random_range(0.0..NEWS_WITHIN_S))
                .collect(),
        }
    }

    /// Whether what one node sends gets to another one.
    pub fn delivers(&self, from: usize, to: usize, homes: &[usize], at_s: f64) -> bool {
        if from == to {
            return true;
        }
        let lost = |node: usize| {
            self.lost.is_some_and(|(since, many)| {
                at_s >= since && homes.iter().take(many).any(|home| *home == node)
            })
        };
        if lost(to) || lost(from) {
            return false;
        }
        if let Some((first, since, until)) = self.split
            && (since..until).contains(&at_s)
            && (from < first) != (to < first)
        {
            return false;
        }
        self.cuts.iter().all(|cut| cut.delivers(from, to, at_s))
    }

    /// For how long a node has not heard the publisher, in seconds.
    pub fn publisher_silent_s(&self, node: usize, at_s: f64) -> f64 {
        let cuts = self.cuts.iter().filter(|cut| cut.members[node]);
        let active = cuts.filter(|cut| cut.is_active(at_s));
        active.map(|cut| at_s - cut.cut.from).fold(0.0, f64::max)
    }

    /// Nodes that a node takes to be published, or `None` where it hears nothing new.
    pub fn listed(&self, node: usize, at_s: f64) -> Option<Vec<usize>> {
        if self.publisher_silent_s(node, at_s) > 0.0 {
            return None;
        }
        let seen_s = at_s - self.news_s[node];
        let lapsed = |other: usize| {
            self.cuts.iter().any(|cut| {
                let lapses_s = cut.cut.from + LAPSES_AFTER_S;
                cut.members[other]
                    && lapses_s < cut.cut.until
                    && (lapses_s..cut.back_s).contains(&seen_s)
            })
        };
        let nodes = 0..self.news_s.len();
        Some(nodes.filter(|other| !lapsed(*other)).collect())
    }
}

impl DrawnCut {
    fn is_active(&self, at_s: f64) -> bool {
        (self.cut.from..self.cut.until).contains(&at_s)
    }

    fn delivers(&self, from: usize, to: usize, at_s: f64) -> bool {
        if !self.is_active(at_s) {
            return true;
        }
        match self.cut.kind {
            CutKind::Together => self.members[from] == self.members[to],
            CutKind::Alone => !self.members[from] && !self.members[to],
            CutKind::Deaf => !self.members[to],
            CutKind::Mute => !self.members[from],
        }
    }
}
