//! Frames of the change feed between nodes.

use coltsfootport_core::mesh::{Era, Position};
use serde::{Deserialize, Serialize};

/// Maximum size of a frame's head, in bytes. A head holds a few numbers, and one more for each page of a listing.
pub const MAX_HEAD: usize = 4 * 1024;

/// Maximum size of a relayed publisher response, in bytes.
pub const MAX_BODY: usize = 16 * 1024 * 1024;

/// Requests all changes after a position, for as long as the stream is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowFrame {
    /// Position up to which the follower is up to date.
    pub position: Position,
}

/// One frame of the reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedFrame {
    /// A full listing; the publisher's responses follow unmodified.
    Listed {
        /// Position at which the listing was taken.
        position: Position,
        /// Length of each response, in bytes.
        pages: Vec<u32>,
    },
    /// Changes; the publisher's response follows unmodified.
    Changes {
        /// Position after which the changes begin.
        after: Position,
        /// Position of the last change.
        until: Position,
        /// Length of the response, in bytes.
        length: u32,
    },
    /// Heartbeat.
    State {
        /// Whether the node reads the publisher and the publisher responds.
        healthy: bool,
        /// Whether the publisher has responded since the previous heartbeat.
        answered: bool,
        /// Era of the publisher as known to the node.
        era: Era,
    },
    /// Changes after the requested position are no longer kept; the stream ends.
    HistoryGone,
}
