//! Replies to peers that are not yet delivered.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Counts the calls of peers whose replies have not yet arrived whole; clones share the count.
///
/// A node that has drained has calls that ended a moment ago. Closing its connections then cuts their replies off, and the
/// last callers of a planned stop hear "unknown" of calls that ran.
#[derive(Clone, Debug)]
pub struct Replies {
    room: Arc<Semaphore>,
}

/// A reply that is owed until this is dropped.
#[derive(Debug)]
pub struct OwedReply {
    _place: Option<OwnedSemaphorePermit>,
}

impl Replies {
    /// No reply is owed.
    pub fn new() -> Self {
        Self {
            room: Arc::new(Semaphore::new(MOST_REPLIES as usize)),
        }
    }

    /// A call has arrived.
    pub async fn owe(&self) -> OwedReply {
        OwedReply {
            _place: Arc::clone(&self.room).acquire_owned().await.ok(),
        }
    }

    /// Waits until no reply is owed.
    pub async fn delivered(&self) {
        let _ = self.room.acquire_many(MOST_REPLIES).await;
    }
}

impl Default for Replies {
    fn default() -> Self {
        Self::new()
    }
}

/// Above the streams that all peers together may open.
const MOST_REPLIES: u32 = 1 << 24;
