//! Tells other nodes which requests crash targets, and asks them.

use std::net::SocketAddr;

use coltsfootport_core::quarantine::Finding;

use super::PeerPool;
use super::finding_frames::{FindingFrame, FindingsFrame};
use super::frames::StreamHead;
use super::rpc::call;
use crate::wire::FrameError;

/// Tells a node what this one has found out.
///
/// # Errors
///
/// The node does not answer.
pub async fn push_findings(
    links: &PeerPool,
    node: SocketAddr,
    findings: &[Finding],
) -> Result<(), FrameError> {
    let frames = findings.iter().map(FindingFrame::from).collect();
    let FindingsFrame(_) = call(links, node, &StreamHead::Findings(frames)).await?;
    Ok(())
}

/// What a node knows, where that differs from what `digest` stands for.
///
/// # Errors
///
/// The node does not answer.
pub async fn pull_findings(
    links: &PeerPool,
    node: SocketAddr,
    digest: u64,
) -> Result<Vec<Finding>, FrameError> {
    let FindingsFrame(frames) = call(links, node, &StreamHead::FindingsPull(digest)).await?;
    Ok(frames.into_iter().map(Finding::from).collect())
}
