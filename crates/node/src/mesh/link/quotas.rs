//! Tells other nodes about quotas.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_core::workspace::{QuotaNotice, RoutedClaim, Verdict};
use tokio::time::timeout;

use super::LinkHub;
use super::frames::{MAX_HEAD, StreamHead};
use super::quota_frames::{ClaimFrame, NoticeFrame, VerdictsFrame};
use crate::wire::FrameError;

/// Time within which a node must answer. It is asked beside requests and not on their way, so this only bounds for how long an
/// entry goes by older verdicts; a lost packet is repeated within it.
const ANSWER: Duration = Duration::from_millis(300);

/// Tells a home what was used; its verdicts stand in the order of the claims.
///
/// # Errors
///
/// The home does not answer, or knows one of the workspaces not yet.
pub async fn claim(
    links: &LinkHub,
    home: SocketAddr,
    claims: &[RoutedClaim],
) -> Result<Vec<Verdict>, FrameError> {
    let frames = claims.iter().map(|routed| ClaimFrame::from(&routed.claim));
    let head = StreamHead::QuotaClaims(frames.collect());
    let VerdictsFrame(verdicts) = ask(links, home, &head).await?;
    match verdicts.len() == claims.len() {
        true => Ok(verdicts.into_iter().map(Verdict::from).collect()),
        false => Err(FrameError::Malformed),
    }
}

/// Tells an entry the verdicts of this node.
///
/// # Errors
///
/// The entry does not answer.
pub async fn notify(
    links: &LinkHub,
    entry: SocketAddr,
    notices: &[QuotaNotice],
) -> Result<(), FrameError> {
    let frames = notices.iter().map(NoticeFrame::from);
    ask(links, entry, &StreamHead::QuotaNotices(frames.collect())).await?;
    Ok(())
}

async fn ask(
    links: &LinkHub,
    node: SocketAddr,
    head: &StreamHead,
) -> Result<VerdictsFrame, FrameError> {
    // Requests to the node have shown already that it is paused, cut off or gone.
    if links.peer(node).is_silent() {
        return Err(FrameError::Cut);
    }
    let exchange = async {
        let mut link = match links.take(node) {
            Some(link) => link,
            None => links.connect(node).await.map_err(|_| FrameError::Cut)?,
        };
        link.conn.write(head, &[]).await.map_err(FrameError::from)?;
        let verdicts = link.conn.read_head(MAX_HEAD).await?;
        links.put(node, link);
        Ok(verdicts)
    };
    timeout(ANSWER, exchange)
        .await
        .unwrap_or(Err(FrameError::Cut))
}
