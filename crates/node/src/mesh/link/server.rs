//! Takes requests from other nodes.

use bytes::Bytes;
use quinn::{Endpoint, Incoming, RecvStream, SendStream};
use slog::{Logger, debug, info};
use tokio::sync::mpsc;

use super::client::{receive_body, send_pieces, write_all};
use super::frames::{MAX_HEAD, ReplyFrame, RequestFrame, StreamHead};
use super::reset_guard::ResetGuard;
use crate::mesh::call::{Body, CutShort};
use crate::mesh::host::Host;
use crate::mesh::news::{Sharing, share};
use crate::wire::{FrameError, read_head, write_head};

/// What a node does for others; cheap to clone.
#[derive(Clone)]
pub struct Serving {
    /// Runs their requests.
    pub host: Host,
    /// Passes the publisher's news on.
    pub sharing: Sharing,
    /// Log.
    pub log: Logger,
}

/// Accepts links until the endpoint is closed.
pub async fn serve(endpoint: Endpoint, serving: Serving) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_link(incoming, serving.clone()));
    }
}

async fn serve_link(incoming: Incoming, serving: Serving) {
    let peer = incoming.remote_address();
    let link = match incoming.await {
        Ok(link) => link,
        Err(e) => {
            return debug!(serving.log, "handshake failed"; "peer" => peer, "reason" => e.to_string());
        }
    };
    let reason = loop {
        match link.accept_bi().await {
            Ok((tx, rx)) => {
                tokio::spawn(serve_stream(tx, rx, serving.clone()));
            }
            Err(e) => break e,
        }
    };
    info!(serving.log, "peer left"; "peer" => peer, "reason" => reason.to_string());
}

async fn serve_stream(tx: SendStream, rx: RecvStream, serving: Serving) {
    let mut tx = ResetGuard::new(tx);
    let stopped = tx.stopped();
    let served = tokio::select! {
        served = answer(&mut tx, rx, &serving) => served,
        // The other node does not wait any more, or is gone; what can be broken off is.
        _ = stopped => return,
    };
    match served {
        Ok(Some(pieces)) => send_pieces(tx, pieces).await,
        Ok(None) => tx.finish(),
        Err(e) => debug!(serving.log, "stream of a peer failed"; "reason" => e.to_string()),
    }
}

/// Does what a stream is for, up to the pieces of a long answer, which it returns.
async fn answer(
    tx: &mut ResetGuard,
    mut rx: RecvStream,
    serving: &Serving,
) -> Result<Option<Pieces>, FrameError> {
    match read_head::<StreamHead>(&mut rx, MAX_HEAD).await?.value {
        StreamHead::Request(head) => run(tx, rx, *head, &serving.host).await,
        StreamHead::Follow(asked) => {
            share(serving.sharing.clone(), tx, asked).await?;
            Ok(None)
        }
    }
}

/// Runs a request and writes the reply up to the pieces of a long body, which it returns.
async fn run(
    tx: &mut ResetGuard,
    rx: RecvStream,
    head: RequestFrame,
    host: &Host,
) -> Result<Option<Pieces>, FrameError> {
    let body = receive_body(rx, head.length).await?;
    let req = head.into_request(body, host.clock.now())?;
    let reply = host.run(req).await;
    write_head(tx.stream(), &ReplyFrame::from(&reply)).await?;
    match reply.result.map(|answer| answer.body) {
        Ok(Body::Whole(bytes)) => {
            write_all(tx, bytes).await?;
            Ok(None)
        }
        Ok(Body::Stream { rx, .. }) => Ok(Some(rx)),
        Err(_) => Ok(None),
    }
}

/// Pieces of a body that is too long to be held.
type Pieces = mpsc::Receiver<Result<Bytes, CutShort>>;
