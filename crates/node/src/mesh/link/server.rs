//! Takes requests from other nodes.

use bytes::Bytes;
use quinn::{Endpoint, Incoming, RecvStream, SendStream};
use slog::{Logger, debug, info};
use tokio::sync::mpsc;

use super::client::{receive_body, send_pieces, write_all};
use super::frames::{MAX_HEAD, ReplyFrame, RequestFrame};
use super::reset_guard::ResetGuard;
use crate::mesh::call::{Body, CutShort};
use crate::mesh::host::Host;
use crate::wire::{FrameError, read_head, write_head};

/// Accepts links until the endpoint is closed.
pub async fn serve(endpoint: Endpoint, host: Host, log: Logger) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_link(incoming, host.clone(), log.clone()));
    }
}

async fn serve_link(incoming: Incoming, host: Host, log: Logger) {
    let peer = incoming.remote_address();
    let link = match incoming.await {
        Ok(link) => link,
        Err(e) => return debug!(log, "handshake failed"; "peer" => peer, "reason" => e.to_string()),
    };
    let reason = loop {
        match link.accept_bi().await {
            Ok((tx, rx)) => {
                tokio::spawn(serve_stream(tx, rx, host.clone(), log.clone()));
            }
            Err(e) => break e,
        }
    };
    info!(log, "peer left"; "peer" => peer, "reason" => reason.to_string());
}

async fn serve_stream(tx: SendStream, rx: RecvStream, host: Host, log: Logger) {
    let mut tx = ResetGuard::new(tx);
    let stopped = tx.stopped();
    let served = tokio::select! {
        served = answer(&mut tx, rx, &host) => served,
        // The entry does not wait any more, or is gone; what can be broken off is.
        _ = stopped => return,
    };
    match served {
        Ok(Some(pieces)) => send_pieces(tx, pieces).await,
        Ok(None) => tx.finish(),
        Err(e) => debug!(log, "request of a peer failed"; "reason" => e.to_string()),
    }
}

/// Runs a request and writes the reply up to the pieces of a long body, which it returns.
async fn answer(
    tx: &mut ResetGuard,
    mut rx: RecvStream,
    host: &Host,
) -> Result<Option<Pieces>, FrameError> {
    let head = read_head::<RequestFrame>(&mut rx, MAX_HEAD).await?.value;
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
