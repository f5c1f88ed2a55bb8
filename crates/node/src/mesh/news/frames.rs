//! News as they travel between nodes.

use coltsfootport_core::mesh::{Era, Position};
use serde::{Deserialize, Serialize};

/// Largest head of news, in bytes; they are a few numbers, and one for each page of a listing.
pub const MAX_HEAD: usize = 4 * 1024;

/// Largest answer of the publisher that is passed on, in bytes.
pub const MAX_BODY: usize = 16 * 1024 * 1024;

/// A node asks for the news after a position, for as long as the stream is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowFrame {
    /// The position up to which it knows everything.
    pub position: Position,
}

/// Part of the reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NewsFrame {
    /// Everything published; the publisher's answers follow as they came.
    Listed {
        /// The position at which it was listed.
        position: Position,
        /// Bytes of each answer.
        pages: Vec<u32>,
    },
    /// Changes; the publisher's answer follows as it came.
    Changes {
        /// The position after which they begin.
        after: Position,
        /// The position with which they end.
        until: Position,
        /// Bytes of the answer.
        length: u32,
    },
    /// A sign of life.
    State {
        /// Whether the node reads the publisher, and it answers.
        sound: bool,
        /// Whether it has answered since the last sign.
        answered: bool,
        /// The era in which the node hears it.
        era: Era,
    },
    /// Changes after the asked position are not kept any more; nothing follows.
    HistoryGone,
}
