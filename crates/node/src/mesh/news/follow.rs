//! Hears news from another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::mesh::{Position, Publisher};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::board::Listing;
use super::frames::{FollowFrame, MAX_BODY, MAX_HEAD, NewsFrame};
use super::listing::read_pages;
use super::source::{Changes, Heard, Source, What};
use crate::mesh::link::{PeerConn, PeerPool, StreamHead};
use crate::wire::FrameError;

/// Time without a sign of life after which a node is given up. Well within the time in which a configuration must be in
/// force, and long beside the pauses of a busy node.
pub const SILENCE: Duration = Duration::from_millis(1200);

/// Why nothing more comes from a node.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("it can't be reached")]
    NoLink,
    #[error("it has gone silent")]
    Silent,
    #[error("it does not keep what is asked for")]
    HistoryGone,
    #[error("its news can't be read: {0}")]
    Malformed(String),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// What is needed to follow one node.
pub struct Follow {
    /// The node.
    pub peer: SocketAddr,
    /// The position up to which everything is known.
    pub position: Position,
    /// Links to nodes.
    pub links: PeerPool,
    /// Reads the publisher's answers.
    pub publisher: Arc<dyn Publisher>,
    /// Who hears the news.
    pub tx: mpsc::UnboundedSender<Heard>,
}

impl Follow {
    /// Passes on what the node tells, until it is lost.
    pub async fn run(self) {
        let reason = match self.listen().await {
            Ok(never) => match never {},
            Err(e) => e.to_string(),
        };
        self.tell(What::Lost(reason));
    }

    async fn listen(&self) -> Result<std::convert::Infallible, FollowError> {
        let connected = self.links.connect(self.peer).await;
        let mut conn = connected.map_err(|_| FollowError::NoLink)?.conn;
        let asked = FollowFrame {
            position: self.position,
        };
        let written = conn.write(&StreamHead::Follow(asked), &[]).await;
        written.map_err(FrameError::from)?;
        loop {
            let told = timeout(SILENCE, self.next(&mut conn)).await;
            self.tell(told.map_err(|_| FollowError::Silent)??);
        }
    }

    async fn next(&self, conn: &mut PeerConn) -> Result<What, FollowError> {
        match conn.read_head::<NewsFrame>(MAX_HEAD).await? {
            NewsFrame::State {
                sound,
                answered,
                era,
            } => Ok(What::State {
                sound,
                answered,
                era,
            }),
            NewsFrame::HistoryGone => Err(FollowError::HistoryGone),
            NewsFrame::Listed { position, pages } => {
                let mut listing = Listing {
                    position,
                    pages: Vec::with_capacity(pages.len()),
                };
                for length in pages {
                    listing.pages.push(read_body(conn, length).await?);
                }
                let read = read_pages(&*self.publisher, &listing);
                let batch = read.map_err(|e| FollowError::Malformed(e.to_string()))?;
                Ok(What::Listed(listing, batch))
            }
            NewsFrame::Changes {
                after,
                until,
                length,
            } => {
                let body = read_body(conn, length).await?;
                let read = self.publisher.parse_watch(&body);
                let batch = read.map_err(|e| FollowError::Malformed(e.to_string()))?;
                let changes = Changes { after, until, body };
                Ok(What::Changes(changes, batch.with_era(until.era)))
            }
        }
    }

    fn tell(&self, what: What) {
        let from = Source::Node(self.peer.ip());
        // The one who hears it lives as long as the process.
        let _ = self.tx.send(Heard { from, what });
    }
}

async fn read_body(conn: &mut PeerConn, length: u32) -> Result<Bytes, FollowError> {
    let length = length as usize;
    if length > MAX_BODY {
        return Err(FrameError::TooLarge(length).into());
    }
    Ok(conn.read_body(length).await?)
}
