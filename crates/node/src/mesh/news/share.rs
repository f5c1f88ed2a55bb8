//! Passes news on to a node that asks for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

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
    let mut told = asked.revision;
    let mut answers = board.borrow().answers;
    loop {
        let (changes, state) = {
            let board = board.borrow_and_update();
            let state = NewsFrame::State {
                sound: board.sound,
                answered: board.answers != answers,
            };
            answers = board.answers;
            (board.since(told), state)
        };
        let Some(changes) = changes else {
            conn.write(&NewsFrame::HistoryGone, &[]).await?;
            return Ok(());
        };
        for changes in changes {
            told = changes.revision;
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
        revision: changes.revision,
        length: u32::try_from(changes.body.len()).map_err(|_| FrameError::Malformed)?,
    };
    Ok(conn.write(&head, &changes.body).await?)
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
