//! News as they travel between nodes.

use serde::{Deserialize, Serialize};

/// Largest head of news, in bytes; they are a few numbers.
pub const MAX_HEAD: usize = 64;

/// Largest answer of the publisher that is passed on, in bytes.
pub const MAX_BODY: usize = 16 * 1024 * 1024;

/// A node asks for the news after a revision, for as long as the stream is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowFrame {
    /// The revision up to which it knows everything.
    pub revision: u64,
}

/// Part of the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NewsFrame {
    /// Changes; the publisher's answer follows as it came.
    Changes {
        /// The revision after which they begin.
        after: u64,
        /// The revision with which they end.
        revision: u64,
        /// Bytes of the answer.
        length: u32,
    },
    /// A sign of life.
    State {
        /// Whether the node reads the publisher, and it answers.
        sound: bool,
        /// Whether it has answered since the last sign.
        answered: bool,
    },
    /// Changes after the asked revision are not kept any more; nothing follows.
    HistoryGone,
}
