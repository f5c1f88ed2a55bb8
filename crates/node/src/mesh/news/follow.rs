//! Hears news from another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootport_core::mesh::Publisher;
use quinn::RecvStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::frames::{FollowFrame, MAX_BODY, MAX_HEAD, NewsFrame};
use super::source::{Changes, Heard, Source, What};
use crate::mesh::link::{LinkHub, StreamHead};
use crate::wire::{FrameError, read_body, read_head, write_head};

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
    /// The revision up to which everything is known.
    pub revision: u64,
    /// Links to nodes.
    pub links: LinkHub,
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
        let link = self.links.get(self.peer).await;
        let link = link.ok_or(FollowError::NoLink)?.connection;
        let opened = timeout(SILENCE, link.open_bi()).await;
        let (mut tx, mut rx) = opened
            .map_err(|_| FollowError::Silent)?
            .map_err(|_| FollowError::NoLink)?;
        let asked = FollowFrame {
            revision: self.revision,
        };
        write_head(&mut tx, &StreamHead::Follow(asked)).await?;
        loop {
            let told = timeout(SILENCE, self.next(&mut rx)).await;
            self.tell(told.map_err(|_| FollowError::Silent)??);
        }
    }

    async fn next(&self, rx: &mut RecvStream) -> Result<What, FollowError> {
        match read_head::<NewsFrame>(rx, MAX_HEAD).await?.value {
            NewsFrame::State { sound, answered } => Ok(What::State { sound, answered }),
            NewsFrame::HistoryGone => Err(FollowError::HistoryGone),
            NewsFrame::Changes {
                after,
                revision,
                length,
            } => {
                let body = read_body(rx, length, MAX_BODY).await?;
                let read = self.publisher.read_watch(&body);
                let batch = read.map_err(|e| FollowError::Malformed(e.to_string()))?;
                let changes = Changes {
                    after,
                    revision,
                    body,
                };
                Ok(What::Changes(changes, batch))
            }
        }
    }

    fn tell(&self, what: What) {
        let from = Source::Node(self.peer.ip());
        // The one who hears it lives as long as the process.
        let _ = self.tx.send(Heard { from, what });
    }
}
