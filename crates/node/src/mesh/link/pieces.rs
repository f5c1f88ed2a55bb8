//! Bodies that are too long to be held, piece by piece.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::conn::PeerConn;
use crate::mesh::call::{BODY_CHANNEL_CAPACITY, Body, BodyTruncated, MAX_BODY_CHUNK};
use crate::wire::FrameError;

/// Longest time for which the rest of a body is read that nobody wants, so that closing does not reset an answer on its way.
const LINGER: Duration = Duration::from_secs(2);

/// Time for which the other end may take nothing of a body: a caller pauses in reading its answer, a target in reading a
/// request. Longer than the idle time that configurations give callers, some 10 s; a machine that is gone without a word is
/// noticed so much later.
///
/// The system counts bytes that the other end has no room for as not acknowledged, though it answers all the while. With the
/// time that links have else, a pause of a second ended a long body in the middle.
const PAUSE: Duration = Duration::from_secs(30);

/// The pieces of a body.
pub type Pieces = mpsc::Receiver<Result<Bytes, BodyTruncated>>;

/// Sends a request's body; `false` where the host has answered before the end.
///
/// # Errors
///
/// The body was cut short, or the connection is lost.
pub async fn send_request(conn: &mut PeerConn, rx: &mut Pieces) -> Result<bool, FrameError> {
    conn.set_user_timeout(PAUSE)?;
    loop {
        let piece = tokio::select! {
            piece = rx.recv() => piece,
            () = conn.closed() => return Ok(false),
        };
        let piece = piece.transpose().map_err(|BodyTruncated| FrameError::Cut)?;
        let is_end = piece.is_none();
        let piece = piece.unwrap_or_default();
        if !conn.write_chunk_unless_answered(&piece).await? {
            return Ok(false);
        }
        if is_end {
            return Ok(true);
        }
    }
}

/// Sends an answer's body.
///
/// # Errors
///
/// The body was cut short, or nobody reads it any more.
pub async fn send_answer(conn: &mut PeerConn, mut rx: Pieces) -> Result<(), FrameError> {
    conn.set_user_timeout(PAUSE)?;
    loop {
        let piece = tokio::select! {
            piece = rx.recv() => piece,
            () = conn.closed() => return Err(FrameError::Cut),
        };
        let piece = piece.transpose().map_err(|BodyTruncated| FrameError::Cut)?;
        let is_end = piece.is_none();
        conn.write_chunk(&piece.unwrap_or_default()).await?;
        if is_end {
            return Ok(());
        }
    }
}

/// Passes on a request's body; returns when the other end has left.
pub async fn feed(
    conn: &mut PeerConn,
    tx: mpsc::Sender<Result<Bytes, BodyTruncated>>,
    ended: &AtomicBool,
) {
    loop {
        match conn.read_chunk(MAX_BODY_CHUNK).await {
            Ok(piece) if piece.is_empty() => break,
            Ok(piece) => {
                if tx.send(Ok(piece)).await.is_err() {
                    // The target has answered without reading the rest; its answer ends this.
                    return std::future::pending().await;
                }
            }
            Err(_) => return drop(tx.send(Err(BodyTruncated)).await),
        }
    }
    drop(tx);
    ended.store(true, Ordering::Relaxed);
    conn.closed().await;
}

/// Reads what is left of a body; `false` where the other end leaves before its end, so that the connection is of no more use.
///
/// Nothing behind the end is read: it is the next request.
pub async fn drain(conn: &mut PeerConn) -> bool {
    let rest = async {
        loop {
            match conn.read_chunk(MAX_BODY_CHUNK).await {
                Ok(piece) if piece.is_empty() => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    };
    // Whoever is that slow has its answer cut.
    timeout(LINGER, rest).await.unwrap_or(false)
}

/// The body of an answer, read as it comes. The connection is closed after it.
pub fn receive(conn: PeerConn, length: Option<u64>) -> Body {
    let (tx, rx) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    tokio::spawn(receive_all(conn, tx, length));
    Body::Stream { length, rx }
}

async fn receive_all(
    mut conn: PeerConn,
    tx: mpsc::Sender<Result<Bytes, BodyTruncated>>,
    length: Option<u64>,
) {
    let mut received = 0;
    loop {
        let piece = tokio::select! {
            piece = conn.read_chunk(MAX_BODY_CHUNK) => piece,
            () = tx.closed() => return,
        };
        match piece {
            Ok(piece) if !piece.is_empty() => {
                received += piece.len() as u64;
                if tx.send(Ok(piece)).await.is_err() {
                    return;
                }
            }
            Ok(_) if length.is_none_or(|length| length == received) => return,
            // Nobody who reads it is left where it can't be told.
            Ok(_) | Err(_) => return drop(tx.send(Err(BodyTruncated)).await),
        }
    }
}
