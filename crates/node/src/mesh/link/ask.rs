//! Short questions to other nodes, beside requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::PeerPool;
use super::frames::{MAX_HEAD, StreamHead};
use crate::wire::FrameError;

/// Time within which a node must answer; a lost packet is repeated within it.
const ANSWER: Duration = Duration::from_millis(300);

/// Asks a node and reads its answer.
///
/// # Errors
///
/// The node does not answer, or is taken to be silent.
pub async fn ask<T>(links: &PeerPool, node: SocketAddr, head: &StreamHead) -> Result<T, FrameError>
where
    T: DeserializeOwned,
{
    // Requests to the node have shown already that it is paused, cut off or gone.
    if links.peer(node).is_silent() {
        return Err(FrameError::Cut);
    }
    let exchange = async {
        let mut link = match links.take_idle(node) {
            Some(link) => link,
            None => links.connect(node).await.map_err(|_| FrameError::Cut)?,
        };
        link.conn.write(head, &[]).await.map_err(FrameError::from)?;
        let answer = link.conn.read_head(MAX_HEAD).await?;
        links.put_idle(node, link);
        Ok(answer)
    };
    timeout(ANSWER, exchange)
        .await
        .unwrap_or(Err(FrameError::Cut))
}
