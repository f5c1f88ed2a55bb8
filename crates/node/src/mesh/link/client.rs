//! Sends a request to another node.

use std::net::SocketAddr;

use coltsfootport_core::mesh::Repeat;
use tokio::sync::watch;

use super::conn::WriteError;
use super::frames::{MAX_HEAD, ReplyFrame, RequestFrame, StreamHead};
use super::health::{Health, Incarnation};
use super::pool::{Link, TCP_USER_TIMEOUT};
use super::{PeerPool, body_stream};
use crate::mesh::call::{Body, HostReply, HostedRequest, MAX_BUFFERED_BODY};
use crate::wire::FrameError;

/// Why there is no reply.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No byte of the request has left this node.
    #[error("the node can't be reached")]
    NotSent,
    /// The request may have reached the host.
    #[error("no whole reply: {0}")]
    Lost(#[from] FrameError),
    /// The request may have reached the host, which says nothing any more.
    #[error("the node is silent")]
    Silent,
    /// The request may have reached a process that has ended.
    #[error("the node has started anew")]
    Restarted,
}

/// Sends a request over a connection of its own and reads the reply. Dropped before the end, the connection is closed,
/// which tells the host to stop.
///
/// # Errors
///
/// Whether the request may have arrived.
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
    let _counted = peer.track_request(links.now());
    let link = match links.take_idle(address) {
        Some(link) => link,
        None => tokio::select! {
            connected = links.connect(address) => connected.map_err(|_| LinkError::NotSent)?,
            () = silence(&mut health) => return Err(LinkError::NotSent),
        },
    };
    let host = link.host;
    let repeat = req.repeat;
    let reply = tokio::select! {
        biased;
        reply = exchange(links, address, link, req) => reply,
        fault = given_up(&mut health, host, repeat) => Err(fault),
    };
    if reply.is_ok() {
        peer.record_activity(links.now());
    }
    reply
}

/// Resolves when the node is taken to be silent.
async fn silence(health: &mut watch::Receiver<Health>) {
    // The node is known for as long as it has requests.
    let _ = health.wait_for(|health| health.silent).await;
}

/// Resolves when a request is not waited for any more: its host has ended or, where it may be sent elsewhere, is silent.
async fn given_up(
    health: &mut watch::Receiver<Health>,
    host: Incarnation,
    repeat: Repeat,
) -> LinkError {
    let is_replaced = |health: &Health| health.has_replaced(&host);
    let is_left = |health: &Health| health.silent && repeat == Repeat::Idempotent;
    // The node is known for as long as it has requests.
    let known = health
        .wait_for(|health| is_replaced(health) || is_left(health))
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
    let head = StreamHead::Request(Box::new(RequestFrame::new(&req, links.now())));
    let in_pieces = matches!(req.body, Body::Stream { .. });
    let mut whole = true;
    match req.body {
        Body::Whole(bytes) => conn.write(&head, &bytes).await.map_err(not_written)?,
        Body::Stream { mut rx, .. } => {
            conn.write(&head, &[]).await.map_err(not_written)?;
            // The host may answer before it has read the body; the rest is not sent then.
            whole = body_stream::send_request_body(&mut conn, &mut rx).await?;
        }
    }
    let head: ReplyFrame = conn.read_head(MAX_HEAD).await?;
    match head.buffered_length() {
        Some(length) if length > MAX_BUFFERED_BODY => Err(FrameError::TooLarge(length).into()),
        Some(length) => {
            let body = conn.read_body(length).await?;
            // Set back only now: what was sent may have waited until here for the target to read it.
            if whole && (!in_pieces || conn.set_user_timeout(TCP_USER_TIMEOUT).is_ok()) {
                links.put_idle(address, Link { conn, host });
            }
            Ok(head.into_reply(Body::Whole(body))?)
        }
        None => {
            let length = head.length();
            Ok(head.into_reply(body_stream::receive_body(conn, length))?)
        }
    }
}

fn not_written(fault: WriteError) -> LinkError {
    match fault {
        WriteError::NothingSent => LinkError::NotSent,
        fault => LinkError::Lost(fault.into()),
    }
}
