//! Exchanges quota claims and verdicts with peers.

use std::net::SocketAddr;

use coltsfootport_core::workspace::{QuotaNotice, RoutedClaim, Verdict};

use super::PeerPool;
use super::frames::StreamHead;
use super::quota_frames::{ClaimFrame, NoticeFrame, VerdictsFrame};
use super::rpc::call;
use crate::wire::FrameError;

/// Reports usage to a home. Returns its verdicts in the order of the claims.
///
/// # Errors
///
/// The home does not answer, or does not know one of the workspaces yet.
pub async fn send_claims(
    links: &PeerPool,
    home: SocketAddr,
    claims: &[RoutedClaim],
) -> Result<Vec<Verdict>, FrameError> {
    let frames = claims
        .iter()
        .map(|routed| ClaimFrame::from(&routed.claim.usage));
    let head = StreamHead::QuotaClaims(frames.collect());
    let VerdictsFrame(verdicts) = call(links, home, &head).await?;
    match verdicts.len() == claims.len() {
        true => Ok(verdicts.into_iter().map(Verdict::from).collect()),
        false => Err(FrameError::Malformed),
    }
}

/// Sends verdicts of this node to an entry node.
///
/// # Errors
///
/// The entry node does not answer.
pub async fn send_notices(
    links: &PeerPool,
    entry: SocketAddr,
    notices: &[QuotaNotice],
) -> Result<(), FrameError> {
    let frames = notices.iter().map(NoticeFrame::from);
    let VerdictsFrame(_) = call(links, entry, &StreamHead::QuotaNotices(frames.collect())).await?;
    Ok(())
}
