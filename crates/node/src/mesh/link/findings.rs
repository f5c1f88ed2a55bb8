//! Exchanges findings about requests that crash targets with peers.

use std::net::SocketAddr;

use coltsfootport_core::quarantine::Finding;

use super::PeerPool;
use super::finding_frames::{FindingsAck, FindingsFrame};
use super::frames::StreamHead;
use super::rpc::call;
use crate::wire::FrameError;

/// Sends findings of this node to a peer.
///
/// # Errors
///
/// The peer does not answer.
pub async fn push_findings(
    links: &PeerPool,
    node: SocketAddr,
    findings: &[Finding],
) -> Result<(), FrameError> {
    let frame = FindingsFrame::from(findings);
    let _: FindingsAck = call(links, node, &StreamHead::Findings(frame)).await?;
    Ok(())
}

/// Fetches the findings of a peer, unless they match `digest`.
///
/// # Errors
///
/// The peer does not answer.
pub async fn pull_findings(
    links: &PeerPool,
    node: SocketAddr,
    digest: u64,
) -> Result<Vec<Finding>, FrameError> {
    let frame: FindingsFrame = call(links, node, &StreamHead::FindingsPull(digest)).await?;
    Ok(frame.into())
}
