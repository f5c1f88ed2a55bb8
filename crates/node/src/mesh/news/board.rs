//! The newest changes, kept for nodes that hear them from this one.

use std::collections::VecDeque;

use bytes::Bytes;
use coltsfootport_core::mesh::{Era, Position};

use super::source::Changes;

/// Changes kept at most: more than come within the seconds for which a follower may have been away.
const MOST_CHANGES: usize = 128;

/// Bytes kept at most, so that a storm of large configurations can't take a node's memory.
const MOST_BYTES: usize = 512 * 1024;

/// The newest changes in their order, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// The position before the oldest change that is kept.
    floor: Position,
    /// Everything published at the floor, page by page; empty where it is not kept.
    listed: Vec<Bytes>,
    changes: VecDeque<Changes>,
    bytes: usize,
    /// Whether this node reads the publisher, and it answers.
    pub sound: bool,
    /// Answers of the publisher so far.
    pub answers: u64,
}

/// Everything published at a position, as the publisher's answers to a list.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The position.
    pub position: Position,
    /// The answers.
    pub pages: Vec<Bytes>,
}

impl Board {
    /// Begins anew after everything was listed.
    pub fn listed(&mut self, listing: Listing) {
        self.floor = listing.position;
        self.listed = listing.pages;
        self.changes.clear();
        self.bytes = 0;
    }

    /// Gives back the room of what was listed.
    pub fn forget_listing(&mut self) {
        self.listed = Vec::new();
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
            self.floor = oldest.until;
            self.listed = Vec::new();
        }
    }

    /// All changes after a position; `None` where they are not kept, or where the position is one of an earlier era.
    pub fn since(&self, position: Position) -> Option<Vec<Changes>> {
        if position < self.floor {
            return None;
        }
        let newer = self.changes.iter().filter(|c| c.until > position);
        Some(newer.cloned().collect())
    }

    /// Everything published at the position from which on changes are kept.
    pub fn listing(&self) -> Option<Listing> {
        (!self.listed.is_empty()).then(|| Listing {
            position: self.floor,
            pages: self.listed.clone(),
        })
    }

    /// The era that this node knows.
    pub fn era(&self) -> Era {
        self.floor.era
    }
}
