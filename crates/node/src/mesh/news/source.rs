//! Where news come from, and what is heard there.

use std::net::IpAddr;

use bytes::Bytes;
use coltsfootport_core::mesh::{Era, Position, UpdateBatch};
use tokio::task::AbortHandle;

use super::board::Listing;

/// Who tells news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The publisher itself.
    Publisher,
    /// Another node that reads it.
    Node(IpAddr),
}

/// Something was heard.
#[derive(Debug)]
pub struct Heard {
    /// Where.
    pub from: Source,
    /// What.
    pub what: What,
}

/// What a source can tell.
#[derive(Debug)]
pub enum What {
    /// Everything published, as it came and decoded.
    Listed(Listing, UpdateBatch),
    /// What has changed since a revision, as it came and decoded; may be nothing.
    Changes(Changes, UpdateBatch),
    /// Whether a node hears the publisher, and whether it has just had an answer.
    State {
        /// It does.
        sound: bool,
        /// Since it told last.
        answered: bool,
        /// The era in which it hears it.
        era: Era,
    },
    /// The publisher does not answer as it should.
    Failed,
    /// Nothing more comes from there.
    Lost(String),
}

/// An answer of the publisher about changes, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The position after which they begin.
    pub after: Position,
    /// The position with which they end.
    pub until: Position,
    /// The answer's body.
    pub body: Bytes,
}

/// A task that listens to a source; it ends when this is dropped.
#[derive(Debug)]
pub struct Listening(pub AbortHandle);

impl Drop for Listening {
    fn drop(&mut self) {
        self.0.abort();
    }
}
