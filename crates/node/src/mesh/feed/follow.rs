//! Follows the change feed of another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::mesh::{Position, Publisher};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::change_log::Listing;
use super::frames::{FeedFrame, FollowFrame, MAX_BODY, MAX_HEAD};
use super::listing::read_pages;
use super::source::{Changes, Source, SourceEvent, SourceUpdate};
use crate::mesh::link::{PeerConn, PeerPool, StreamHead};
use crate::wire::FrameError;

/// Time without a frame after which a followed node is considered lost. Well below the time within which a
/// configuration must be in force, and long compared with the pauses of a busy node.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Why a followed node was lost.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("cannot connect to the node")]
    Unreachable,
    #[error("no heartbeat within the timeout")]
    Silent,
    #[error("the node is stopping")]
    Stopping,
    #[error("the node no longer keeps the requested changes")]
    HistoryGone,
    #[error("invalid publisher response relayed: {0}")]
    Malformed(String),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Follows the change feed of one node.
pub struct Follower {
    /// Address of the followed node.
    pub peer: SocketAddr,
    /// Position up to which this node is up to date.
    pub position: Position,
    /// Connections to other nodes.
    pub links: PeerPool,
    /// Decodes the publisher's responses.
    pub publisher: Arc<dyn Publisher>,
    /// Receives the updates.
    pub tx: mpsc::UnboundedSender<SourceEvent>,
}

impl Follower {
    /// Forwards the node's updates until the connection is lost.
    pub async fn run(self) {
        let reason = match self.listen().await {
            Ok(never) => match never {},
            Err(e) => e.to_string(),
        };
        self.send_update(SourceUpdate::Lost(reason));
    }

    async fn listen(&self) -> Result<std::convert::Infallible, FollowError> {
        let connected = self.links.connect(self.peer).await;
        let mut conn = connected.map_err(|_| FollowError::Unreachable)?.conn;
        let request = FollowFrame {
            position: self.position,
        };
        let written = conn.write(&StreamHead::Follow(request), &[]).await;
        written.map_err(FrameError::from)?;
        loop {
            let update = timeout(SILENCE_TIMEOUT, self.next(&mut conn)).await;
            self.send_update(update.map_err(|_| FollowError::Silent)??);
        }
    }

    async fn next(&self, conn: &mut PeerConn) -> Result<SourceUpdate, FollowError> {
        match conn.read_head::<FeedFrame>(MAX_HEAD).await? {
            FeedFrame::State {
                healthy,
                answered,
                era,
            } => Ok(SourceUpdate::State {
                healthy,
                answered,
                era,
            }),
            FeedFrame::HistoryGone => Err(FollowError::HistoryGone),
            // What a stopping node writes on each connection that it closes can be decoded as this.
            FeedFrame::Listed { pages, .. } if pages.is_empty() => Err(FollowError::Stopping),
            FeedFrame::Listed { position, pages } => {
                let mut listing = Listing {
                    position,
                    pages: Vec::with_capacity(pages.len()),
                };
                for length in pages {
                    listing.pages.push(read_body(conn, length).await?);
                }
                let read = read_pages(&*self.publisher, &listing);
                let batch = read.map_err(|e| FollowError::Malformed(e.to_string()))?;
                Ok(SourceUpdate::Listed(listing, batch))
            }
            FeedFrame::Changes {
                after,
                until,
                length,
            } => {
                let body = read_body(conn, length).await?;
                let read = self.publisher.parse_watch(&body);
                let batch = read.map_err(|e| FollowError::Malformed(e.to_string()))?;
                let changes = Changes { after, until, body };
                Ok(SourceUpdate::Changes(changes, batch.with_era(until.era)))
            }
        }
    }

    fn send_update(&self, update: SourceUpdate) {
        let from = Source::Node(self.peer.ip());
        // The receiver lives as long as the process.
        let _ = self.tx.send(SourceEvent { from, update });
    }
}

async fn read_body(conn: &mut PeerConn, length: u32) -> Result<Bytes, FollowError> {
    let length = length as usize;
    if length > MAX_BODY {
        return Err(FrameError::TooLarge(length).into());
    }
    Ok(conn.read_body(length).await?)
}
