//! Sends a request to another node.

use bytes::Bytes;
use coltsfootport_core::mesh::Repeat;
use quinn::{Connection, RecvStream};
use tokio::sync::mpsc;

use super::Link;
use super::frames::{MAX_HEAD, ReplyFrame, RequestFrame, StreamHead};
use super::reset_guard::ResetGuard;
use crate::clock::SharedClock;
use crate::mesh::call::{Body, CutShort, HELD_BODY, HostReply, HostedRequest, WAITING_PIECES};
use crate::wire::{FrameError, read_body, read_head, write_head};

/// Why there is no reply.
#[derive(Debug, thiserror::Error)]
pub enum LinkFault {
    /// No byte of the request has left this node.
    #[error("the link is down")]
    NotSent,
    /// The request may have reached the host.
    #[error("no whole reply: {0}")]
    Lost(#[from] FrameError),
    /// The request may have reached the host, from which no packet comes any more.
    #[error("the link is silent")]
    Silent,
}

/// Sends a request on a stream of its own and reads the reply. Dropped before the end, the host is told to stop.
///
/// # Errors
///
/// Whether the request may have arrived.
pub async fn send(
    mut link: Link,
    req: HostedRequest,
    clock: &SharedClock,
) -> Result<HostReply, LinkFault> {
    if *link.silent.borrow() {
        return Err(LinkFault::NotSent);
    }
    // A request that may run once only can't be sent elsewhere, so it waits for what the link still brings.
    if req.repeat == Repeat::AtMostOnce {
        return exchange(&link.connection, req, clock).await;
    }
    tokio::select! {
        reply = exchange(&link.connection, req, clock) => reply,
        _ = link.silent.wait_for(|silent| *silent) => Err(LinkFault::Silent),
    }
}

async fn exchange(
    link: &Connection,
    req: HostedRequest,
    clock: &SharedClock,
) -> Result<HostReply, LinkFault> {
    let (tx, mut rx) = link.open_bi().await.map_err(|_| LinkFault::NotSent)?;
    let mut tx = ResetGuard::new(tx);
    let frame = Box::new(RequestFrame::new(&req, clock.now()));
    write_head(tx.stream(), &StreamHead::Request(frame)).await?;
    match req.body {
        Body::Whole(bytes) => {
            write_all(&mut tx, bytes).await?;
            tx.finish();
        }
        Body::Stream { rx: pieces, .. } => {
            // From a task of its own: the host may answer before it has read the body.
            tokio::spawn(send_pieces(tx, pieces));
        }
    }
    let head = read_head::<ReplyFrame>(&mut rx, MAX_HEAD).await?.value;
    let body = receive_body(rx, head.length()).await?;
    Ok(head.into_reply(body)?)
}

/// Sends a body piece by piece; cut short, so is the stream.
pub async fn send_pieces(mut tx: ResetGuard, mut rx: mpsc::Receiver<Result<Bytes, CutShort>>) {
    loop {
        let piece = tokio::select! {
            piece = rx.recv() => piece,
            // Nobody reads the body any more; its source must learn that soon.
            _ = tx.stopped() => return,
        };
        match piece {
            Some(Ok(bytes)) => {
                if write_all(&mut tx, bytes).await.is_err() {
                    return;
                }
            }
            Some(Err(CutShort)) => return,
            None => return tx.finish(),
        }
    }
}

/// Writes a whole piece.
pub async fn write_all(tx: &mut ResetGuard, bytes: Bytes) -> Result<(), FrameError> {
    match bytes.is_empty() {
        true => Ok(()),
        false => Ok(tx.stream().write_chunk(bytes).await?),
    }
}

/// The body that follows a head: held where it is short, else piece by piece.
pub async fn receive_body(mut rx: RecvStream, length: Option<u64>) -> Result<Body, FrameError> {
    let short = length.and_then(|length| u32::try_from(length).ok());
    if let Some(length) = short.filter(|length| *length as usize <= HELD_BODY) {
        return Ok(Body::Whole(read_body(&mut rx, length, HELD_BODY).await?));
    }
    let (tx, pieces) = mpsc::channel(WAITING_PIECES);
    tokio::spawn(receive_pieces(rx, tx, length));
    Ok(Body::Stream { length, rx: pieces })
}

/// Largest piece read at a time, in bytes.
const PIECE: usize = 16 * 1024;

async fn receive_pieces(
    mut rx: RecvStream,
    tx: mpsc::Sender<Result<Bytes, CutShort>>,
    length: Option<u64>,
) {
    let mut received = 0;
    loop {
        let read = tokio::select! {
            read = rx.read_chunk(PIECE, true) => read,
            () = tx.closed() => return,
        };
        match read {
            Ok(Some(chunk)) => {
                received += chunk.bytes.len() as u64;
                if tx.send(Ok(chunk.bytes)).await.is_err() {
                    return;
                }
            }
            Ok(None) if length.is_none_or(|length| length == received) => return,
            Ok(None) | Err(_) => return drop(tx.send(Err(CutShort)).await),
        }
    }
}
