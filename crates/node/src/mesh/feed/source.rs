//! Sources of the change feed and the updates that they deliver.

use std::net::IpAddr;

use bytes::Bytes;
use coltsfootport_core::mesh::{Era, Position, UpdateBatch};
use tokio::task::AbortHandle;

use super::change_log::Listing;

/// Origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The publisher itself.
    Publisher,
    /// Another node that reads the publisher.
    Node(IpAddr),
}

/// An update together with its source.
#[derive(Debug)]
pub struct SourceEvent {
    /// Source that delivered the update.
    pub from: Source,
    /// The update.
    pub update: SourceUpdate,
}

/// Updates that a source can deliver.
#[derive(Debug)]
pub enum SourceUpdate {
    /// A full listing, raw and decoded.
    Listed(Listing, UpdateBatch),
    /// Changes since a position, raw and decoded; may be empty.
    Changes(Changes, UpdateBatch),
    /// Heartbeat of a followed node.
    State {
        /// Whether the node reads the publisher and the publisher responds.
        healthy: bool,
        /// Whether the publisher has responded since the previous heartbeat.
        answered: bool,
        /// Era of the publisher as known to the node.
        era: Era,
    },
    /// A read of the publisher failed.
    Failed,
    /// The source was lost, with the reason; it delivers no further updates.
    Lost(String),
}

/// Changes as returned by the publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Position after which the changes begin.
    pub after: Position,
    /// Position of the last change.
    pub until: Position,
    /// Raw body of the response.
    pub body: Bytes,
}

/// Handle of a task that reads from a source; aborts the task on drop.
#[derive(Debug)]
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
