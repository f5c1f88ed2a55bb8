//! Passes news on to a node that asks for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::timeout;

use super::board::Listing;
use super::frames::{FollowFrame, NewsFrame};
use super::source::Changes;
use super::{Board, follow::SILENCE};
use crate::mesh::link::PeerConn;
use crate::wire::FrameError;

/// Time between signs of life where nothing is new; two may be late before a follower gives up.
const BEAT: Duration = Duration::from_millis(SILENCE.as_millis() as u64 / 3);

/// What is needed to pass news on; cheap to clone.
#[derive(Clone, Debug)]
pub struct Sharing {
    /// The newest changes.
    pub board: watch::Receiver<Board>,
    /// Nodes that hear them from this one.
    pub followers: Arc<AtomicUsize>,
}

/// Passes news on until the follower leaves.
///
/// # Errors
///
/// The connection is lost, or what it asks for is not kept any more.
pub async fn share(
    sharing: Sharing,
    conn: &mut PeerConn,
    asked: FollowFrame,
) -> Result<(), FrameError> {
    let _counted = Counted::new(sharing.followers);
    let mut board = sharing.board;
    let mut told = asked.position;
    let mut answers = board.borrow().answers;
    loop {
        let (listing, changes, state) = {
            let board = board.borrow_and_update();
            let state = NewsFrame::State {
                sound: board.sound,
                answered: board.answers != answers,
                era: board.era(),
            };
            answers = board.answers;
            let listing = match board.since(told) {
                Some(_) => None,
                None => board.listing(),
            };
            let from = listing.as_ref().map_or(told, |listing| listing.position);
            (listing, board.since(from), state)
        };
        let Some(changes) = changes else {
            conn.write(&NewsFrame::HistoryGone, &[]).await?;
            return Ok(());
        };
        if let Some(listing) = listing {
            told = listing.position;
            send_listing(conn, listing).await?;
        }
        for changes in changes {
            told = changes.until;
            send(conn, changes).await?;
        }
        conn.write(&state, &[]).await?;
        tokio::select! {
            waited = timeout(BEAT, board.changed()) => match waited {
                Ok(Ok(())) | Err(_) => {}
                // The node is about to end.
                Ok(Err(_)) => return Ok(()),
            },
            // The follower has left.
            () = conn.closed() => return Ok(()),
        }
    }
}

async fn send(conn: &mut PeerConn, changes: Changes) -> Result<(), FrameError> {
    let head = NewsFrame::Changes {
        after: changes.after,
        until: changes.until,
        length: length(&changes.body)?,
    };
    Ok(conn.write(&head, &changes.body).await?)
}

async fn send_listing(conn: &mut PeerConn, listing: Listing) -> Result<(), FrameError> {
    let pages: Result<Vec<u32>, FrameError> = listing.pages.iter().map(length).collect();
    let head = NewsFrame::Listed {
        position: listing.position,
        pages: pages?,
    };
    Ok(conn.write(&head, &listing.pages.concat()).await?)
}

fn length(body: &Bytes) -> Result<u32, FrameError> {
    u32::try_from(body.len()).map_err(|_| FrameError::Malformed)
}

/// Counts a follower for as long as it is served.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
