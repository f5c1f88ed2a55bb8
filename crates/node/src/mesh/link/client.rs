//! Sends requests to other nodes.

use std::net::SocketAddr;

use coltsfootport_core::mesh::Idempotency;
use tokio::sync::watch;

use super::conn::WriteError;
use super::frames::{MAX_HEAD, ReplyFrame, RequestFrame, StreamHead};
use super::health::{Health, Incarnation};
use super::pool::{Link, TCP_USER_TIMEOUT};
use super::{PeerPool, body_stream};
use crate::mesh::call::{Body, HostReply, HostedRequest, MAX_BUFFERED_BODY};
use crate::wire::FrameError;

/// Why a request got no reply.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No byte of the request has left this node.
    #[error("peer unreachable")]
    NotSent,
    /// No complete and valid reply was received; the request may have reached the host.
    #[error("no complete reply: {0}")]
    Lost(#[from] FrameError),
    /// The host stopped responding; the request may have reached it.
    #[error("peer stopped responding")]
    Silent,
    /// The host process has been replaced by a new one; the request may have reached the old one.
    #[error("peer restarted")]
    Restarted,
}

/// Sends a request over an exclusive connection and reads the reply. Dropping the future closes the connection, which
/// makes the host cancel the request if possible.
///
/// # Errors
///
/// There is no reply; the error tells whether the request may have reached the host.
pub async fn send(
    links: &PeerPool,
    address: SocketAddr,
    req: HostedRequest,
) -> Result<HostReply, LinkError> {
    let peer = links.peer(address);
    let mut health = peer.health();
    if health.borrow().silent {
        return Err(LinkError::NotSent);
    }
    let _in_flight = peer.track_request(links.now());
    let link = match links.take_idle(address) {
        Some(link) => link,
        None => tokio::select! {
            connected = links.connect(address) => connected.map_err(|_| LinkError::NotSent)?,
            () = wait_until_silent(&mut health) => return Err(LinkError::NotSent),
        },
    };
    let host = link.host;
    let repeat = req.repeat;
    let reply = tokio::select! {
        biased;
        reply = exchange(links, address, link, req) => reply,
        error = wait_until_abandoned(&mut health, host, repeat) => Err(error),
    };
    if reply.is_ok() {
        peer.record_activity(links.now());
    }
    reply
}

/// Resolves when the peer is considered silent.
async fn wait_until_silent(health: &mut watch::Receiver<Health>) {
    // The sender outlives this wait: a peer with requests in flight is never pruned.
    let _ = health.wait_for(|health| health.silent).await;
}

/// Resolves when the reply is no longer awaited: the host process has been replaced or, if the request is safe to retry
/// elsewhere, the host is silent.
async fn wait_until_abandoned(
    health: &mut watch::Receiver<Health>,
    host: Incarnation,
    repeat: Idempotency,
) -> LinkError {
    let is_replaced = |health: &Health| health.has_replaced(&host);
    let is_retried_elsewhere = |health: &Health| health.silent && repeat == Idempotency::Idempotent;
    // The sender outlives this wait: a peer with requests in flight is never pruned.
    let known = health
        .wait_for(|health| is_replaced(health) || is_retried_elsewhere(health))
        .await;
    match known {
        Ok(health) if is_replaced(&health) => LinkError::Restarted,
        _ => LinkError::Silent,
    }
}

async fn exchange(
    links: &PeerPool,
    address: SocketAddr,
    link: Link,
    req: HostedRequest,
) -> Result<HostReply, LinkError> {
    let Link { mut conn, host } = link;
    let account = req.account.clone();
    let head = StreamHead::Request(Box::new(RequestFrame::new(&req, links.now())));
    let is_streamed = matches!(req.body, Body::Stream { .. });
    let mut is_sent = true;
    match req.body {
        Body::Whole(bytes) => conn.write(&head, &bytes).await.map_err(from_write_error)?,
        Body::Stream { mut rx, .. } => {
            conn.write(&head, &[]).await.map_err(from_write_error)?;
            // The host may reply before it has read the whole body; the rest is not sent then.
            is_sent = body_stream::send_request_body(&mut conn, &mut rx).await?;
        }
    }
    let head: ReplyFrame = conn.read_head(MAX_HEAD).await?;
    match head.buffered_length() {
        Some(length) if length > MAX_BUFFERED_BODY => Err(FrameError::TooLarge(length).into()),
        Some(length) => {
            let _held = account.hold(length);
            let body = conn.read_body(length).await?;
            // A stopping host closes the connection and reads no further request from it.
            let is_reusable = is_sent && !head.is_stopping();
            // The usual timeout is restored only after the reply: until then, sent bytes may still wait for the target
            // to read them.
            if is_reusable && (!is_streamed || conn.set_user_timeout(TCP_USER_TIMEOUT).is_ok()) {
                links.put_idle(address, Link { conn, host });
            }
            Ok(head.into_reply(Body::Whole(body), &account)?)
        }
        None => {
            let length = head.length();
            let body = body_stream::receive_body(conn, length, &account);
            Ok(head.into_reply(body, &account)?)
        }
    }
}

fn from_write_error(error: WriteError) -> LinkError {
    match error {
        WriteError::NothingSent => LinkError::NotSent,
        error => LinkError::Lost(error.into()),
    }
}
