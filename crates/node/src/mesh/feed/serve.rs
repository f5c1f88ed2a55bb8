//! Relays the change feed to followers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::timeout;

use super::change_log::Listing;
use super::frames::{FeedFrame, FollowFrame};
use super::source::Changes;
use super::{ChangeLog, follow::SILENCE_TIMEOUT};
use crate::mesh::link::PeerConn;
use crate::wire::FrameError;

/// Interval between heartbeats while nothing changes. Two may be late before a follower gives up.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(SILENCE_TIMEOUT.as_millis() as u64 / 3);

/// Shared state for serving followers; cheap to clone.
#[derive(Clone, Debug)]
pub struct FeedServer {
    /// The latest changes.
    pub change_log: watch::Receiver<ChangeLog>,
    /// Number of nodes that follow this one.
    pub followers: Arc<AtomicUsize>,
}

/// Relays changes until the follower disconnects.
///
/// # Errors
///
/// Returns an error if the connection is lost or a response is too long for a frame.
pub async fn serve_feed(
    server: FeedServer,
    conn: &mut PeerConn,
    request: FollowFrame,
) -> Result<(), FrameError> {
    let _guard = FollowerGuard::new(server.followers);
    let mut change_log = server.change_log;
    let mut sent_until = request.position;
    let mut responses = change_log.borrow().responses;
    loop {
        let (listing, changes, state) = {
            let change_log = change_log.borrow_and_update();
            let state = FeedFrame::State {
                healthy: change_log.healthy,
                answered: change_log.responses != responses,
                era: change_log.era(),
            };
            responses = change_log.responses;
            let listing = match change_log.since(sent_until) {
                Some(_) => None,
                None => change_log.listing(),
            };
            let from = listing
                .as_ref()
                .map_or(sent_until, |listing| listing.position);
            (listing, change_log.since(from), state)
        };
        let Some(changes) = changes else {
            conn.write(&FeedFrame::HistoryGone, &[]).await?;
            return Ok(());
        };
        if let Some(listing) = listing {
            sent_until = listing.position;
            send_listing(conn, listing).await?;
        }
        for changes in changes {
            sent_until = changes.until;
            send_changes(conn, changes).await?;
        }
        conn.write(&state, &[]).await?;
        tokio::select! {
            waited = timeout(HEARTBEAT_INTERVAL, change_log.changed()) => match waited {
                Ok(Ok(())) | Err(_) => {}
                // The node is shutting down.
                Ok(Err(_)) => return Ok(()),
            },
            // The follower has disconnected.
            () = conn.closed() => return Ok(()),
        }
    }
}

async fn send_changes(conn: &mut PeerConn, changes: Changes) -> Result<(), FrameError> {
    let head = FeedFrame::Changes {
        after: changes.after,
        until: changes.until,
        length: length(&changes.body)?,
    };
    Ok(conn.write(&head, &changes.body).await?)
}

async fn send_listing(conn: &mut PeerConn, listing: Listing) -> Result<(), FrameError> {
    let pages: Result<Vec<u32>, FrameError> = listing.pages.iter().map(length).collect();
    let head = FeedFrame::Listed {
        position: listing.position,
        pages: pages?,
    };
    Ok(conn.write(&head, &listing.pages.concat()).await?)
}

fn length(body: &Bytes) -> Result<u32, FrameError> {
    u32::try_from(body.len()).map_err(|_| FrameError::Malformed)
}

/// Counts a follower for as long as it is served.
struct FollowerGuard(Arc<AtomicUsize>);

impl FollowerGuard {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for FollowerGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
