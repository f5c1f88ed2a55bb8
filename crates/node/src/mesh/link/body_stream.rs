//! Streams bodies that are too long to be buffered, in chunks.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::timeout;

use super::conn::PeerConn;
use crate::mesh::body_channel::{BodyReceiver, BodySender, BodyTruncated, body_channel};
use crate::mesh::call::{Body, MAX_BODY_CHUNK};
use crate::mesh::held_bytes::Account;
use crate::wire::FrameError;

/// Longest time for which the rest of an unwanted body is read. Closing with unread input would reset the connection
/// and lose a reply in transit.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// TCP user timeout while a body is streamed. The peer may take nothing for a while, because a caller pauses in reading
/// its response or a target in reading a request. The timeout exceeds the idle timeout that configurations set for
/// callers, about 10 s; a machine that fails without closing its connections is detected that much later.
///
/// The kernel treats bytes that do not fit in the peer's receive window as unacknowledged, although the peer answers
/// the window probes. With the usual [`TCP_USER_TIMEOUT`], a pause of one second would abort a long body midway.
///
/// [`TCP_USER_TIMEOUT`]: super::pool::TCP_USER_TIMEOUT
const BODY_TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

impl From<BodyTruncated> for FrameError {
    /// Converts the error of a body that ended early.
    fn from(_: BodyTruncated) -> Self {
        Self::Truncated
    }
}

/// Sends the body of a request. Returns `false` if the host replied before its end.
///
/// # Errors
///
/// The body was truncated, or the connection is lost.
pub async fn send_request_body(
    conn: &mut PeerConn,
    rx: &mut BodyReceiver,
) -> Result<bool, FrameError> {
    conn.set_user_timeout(BODY_TCP_USER_TIMEOUT)?;
    loop {
        let chunk = tokio::select! {
            chunk = rx.recv() => chunk,
            () = conn.closed() => return Ok(false),
        };
        let chunk = chunk?;
        let is_end = chunk.is_none();
        let chunk = chunk.unwrap_or_default();
        if !conn.write_chunk_unless_answered(&chunk).await? {
            return Ok(false);
        }
        if is_end {
            return Ok(true);
        }
    }
}

/// Sends the body of a reply.
///
/// # Errors
///
/// The body was truncated, or the peer has closed the connection.
pub async fn send_reply_body(conn: &mut PeerConn, mut rx: BodyReceiver) -> Result<(), FrameError> {
    conn.set_user_timeout(BODY_TCP_USER_TIMEOUT)?;
    loop {
        let chunk = tokio::select! {
            chunk = rx.recv() => chunk,
            () = conn.closed() => return Err(FrameError::Truncated),
        };
        let chunk = chunk?;
        let is_end = chunk.is_none();
        conn.write_chunk(&chunk.unwrap_or_default()).await?;
        if is_end {
            return Ok(());
        }
    }
}

/// Forwards the body of a request to `tx`, sets `is_read` when all of it has been read, and returns when the peer has
/// closed the connection. If the peer has closed it right behind the body, the end of the body is not forwarded.
pub async fn forward_request_body(
    conn: &mut PeerConn,
    tx: BodySender,
    length: Option<u64>,
    is_read: &AtomicBool,
) {
    let mut left = length;
    // The last chunk of a body of known length, which completes the request at the target.
    let mut last = None;
    loop {
        let Ok(chunk) = conn.read_chunk(MAX_BODY_CHUNK).await else {
            return;
        };
        if chunk.is_empty() {
            break;
        }
        if last.is_some() {
            // Longer than announced.
            return;
        }
        left = left.map(|left| left.saturating_sub(chunk.len() as u64));
        if left == Some(0) {
            last = Some(chunk);
        } else if tx.send(chunk).await.is_err() {
            return answered_early().await;
        }
    }
    is_read.store(true, Ordering::Relaxed);
    if conn.is_closed() {
        return;
    }
    if let Some(chunk) = last
        && tx.send(chunk).await.is_err()
    {
        return answered_early().await;
    }
    tx.finish();
    conn.closed().await;
}

/// Waits until the caller of [`forward_request_body`] takes the reply of a target that has not read the whole body, and
/// drops the future.
async fn answered_early() {
    std::future::pending().await
}

/// Reads and discards the rest of a body. Returns `false` if the connection can't be reused, because the peer closed it
/// or took too long.
///
/// Nothing is consumed after the end of the body, where the next request starts.
pub async fn drain_body(conn: &mut PeerConn) -> bool {
    let rest = async {
        loop {
            match conn.read_chunk(MAX_BODY_CHUNK).await {
                Ok(chunk) if chunk.is_empty() => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    };
    // If the sender takes longer to send the rest, its reply may be truncated.
    timeout(DRAIN_TIMEOUT, rest).await.unwrap_or(false)
}

/// Returns the streamed body of a reply, which is held for `account`. The connection is closed after it.
pub fn receive_body(conn: PeerConn, length: Option<u64>, account: &Account) -> Body {
    let (tx, rx) = body_channel(account);
    tokio::spawn(receive_chunks(conn, tx, length));
    Body::Stream { length, rx }
}

async fn receive_chunks(mut conn: PeerConn, tx: BodySender, length: Option<u64>) {
    let mut received = 0;
    loop {
        let chunk = tokio::select! {
            chunk = conn.read_chunk(MAX_BODY_CHUNK) => chunk,
            () = tx.closed() => return,
        };
        match chunk {
            Ok(chunk) if !chunk.is_empty() => {
                received += chunk.len() as u64;
                if tx.send(chunk).await.is_err() {
                    return;
                }
            }
            Ok(_) if length.is_none_or(|length| length == received) => return tx.finish(),
            // Dropping the sender truncates the body.
            Ok(_) | Err(_) => return,
        }
    }
}
