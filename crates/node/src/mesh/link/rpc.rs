//! Short control exchanges with peers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::PeerPool;
use super::frames::{MAX_HEAD, StreamHead};
use crate::wire::FrameError;

/// Time within which a peer must answer; a lost packet is retransmitted within it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends `head` to a peer and reads its reply.
///
/// # Errors
///
/// The peer does not answer in time, or is considered silent.
pub async fn call<T>(links: &PeerPool, node: SocketAddr, head: &StreamHead) -> Result<T, FrameError>
where
    T: DeserializeOwned,
{
    // The failure detector has already found that the peer is paused, disconnected or powered off.
    if links.peer(node).is_silent() {
        return Err(FrameError::Truncated);
    }
    let exchange = async {
        let mut link = match links.take_idle(node) {
            Some(link) => link,
            None => links
                .connect(node)
                .await
                .map_err(|_| FrameError::Truncated)?,
        };
        link.conn.write(head, &[]).await.map_err(FrameError::from)?;
        let answer = link.conn.read_chunk(MAX_HEAD).await?;
        let (answer, rest) =
            postcard::take_from_bytes(&answer).map_err(|_| FrameError::Malformed)?;
        // The refusal that a closing host sends in place of an answer is longer than what is read of it. The host reads
        // no further head from the connection.
        if rest.is_empty() {
            links.put_idle(node, link);
        }
        Ok(answer)
    };
    timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(FrameError::Truncated))
}
