//! Bounded log of the latest changes, kept for the nodes that follow this one.

use std::collections::VecDeque;

use bytes::Bytes;
use coltsfootport_core::mesh::{Era, Position};

use super::source::Changes;

/// Maximum number of changes kept; more than are published within the few seconds for which a follower may be
/// disconnected.
const MAX_CHANGES: usize = 128;

/// Maximum total size of the changes kept, in bytes, so that a burst of large configurations can't exhaust the node's
/// memory.
const MAX_BYTES: usize = 512 * 1024;

/// The latest changes in order, without gaps.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Position just before the oldest change in the log.
    base: Position,
    /// Pages of the full listing at `base`; empty if the listing is not kept.
    listing_pages: Vec<Bytes>,
    changes: VecDeque<Changes>,
    bytes: usize,
    /// Whether this node reads the publisher and the publisher responds.
    pub healthy: bool,
    /// Number of responses received from the publisher.
    pub responses: u64,
}

/// Everything published at a position, as the publisher's responses to list requests.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Position at which the listing was taken.
    pub position: Position,
    /// Body of the response for each page.
    pub pages: Vec<Bytes>,
}

impl ChangeLog {
    /// Replaces the contents after a full listing.
    pub fn reset(&mut self, listing: Listing) {
        self.base = listing.position;
        self.listing_pages = listing.pages;
        self.changes.clear();
        self.bytes = 0;
    }

    /// Frees the memory of the listing.
    pub fn drop_listing(&mut self) {
        self.listing_pages = Vec::new();
    }

    /// Appends changes that directly follow the newest ones in the log.
    pub fn push(&mut self, changes: Changes) {
        self.bytes += changes.body.len();
        self.changes.push_back(changes);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= oldest.body.len();
            self.base = oldest.until;
            self.listing_pages = Vec::new();
        }
    }

    /// Returns all changes after a position; `None` if they are no longer kept, or if the position belongs to an
    /// earlier era.
    pub fn since(&self, position: Position) -> Option<Vec<Changes>> {
        if position < self.base {
            return None;
        }
        let newer = self.changes.iter().filter(|c| c.until > position);
        Some(newer.cloned().collect())
    }

    /// Returns the full listing at the position at which the log begins.
    pub fn listing(&self) -> Option<Listing> {
        (!self.listing_pages.is_empty()).then(|| Listing {
            position: self.base,
            pages: self.listing_pages.clone(),
        })
    }

    /// Returns the publisher's era as known to this node.
    pub fn era(&self) -> Era {
        self.base.era
    }
}
