//! The newest changes, kept for nodes that hear them from this one.

use std::collections::VecDeque;

use super::source::Changes;

/// Changes kept at most: more than come within the seconds for which a follower may have been away.
const MOST_CHANGES: usize = 128;

/// Bytes kept at most, so that a storm of large configurations can't take a node's memory.
const MOST_BYTES: usize = 512 * 1024;

/// The newest changes in their order, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// The revision before the oldest change that is kept.
    floor: u64,
    changes: VecDeque<Changes>,
    bytes: usize,
    /// Whether this node reads the publisher, and it answers.
    pub sound: bool,
    /// Answers of the publisher so far.
    pub answers: u64,
}

impl Board {
    /// Begins anew after everything was listed at a revision.
    pub fn listed(&mut self, revision: u64) {
        self.floor = revision;
        self.changes.clear();
        self.bytes = 0;
    }

    /// Takes in changes that follow on what is kept.
    pub fn push(&mut self, changes: Changes) {
        self.bytes += changes.body.len();
        self.changes.push_back(changes);
        while self.changes.len() > MOST_CHANGES || self.bytes > MOST_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= oldest.body.len();
            self.floor = oldest.revision;
        }
    }

    /// All changes after a revision; `None` where they are not kept any more.
    pub fn since(&self, revision: u64) -> Option<Vec<Changes>> {
        if revision < self.floor {
            return None;
        }
        let newer = self.changes.iter().filter(|c| c.revision > revision);
        Some(newer.cloned().collect())
    }
}
