//! Takes requests back from their hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::PeerPool;
use super::frames::StreamHead;
use super::rpc::call;
use crate::mesh::call::AttemptToken;
use crate::wire::FrameError;

/// Acknowledges a withdrawal; true if the request waited or runs at the host. The refusal that a closing host sends in
/// place of any reply reads as false.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalAck(pub bool);

/// Takes a request back from its host, which refuses it unless it runs already. Returns false if the host does not know
/// the request, which may still be on its way.
///
/// # Errors
///
/// The host does not answer, or does not know withdrawals.
pub async fn withdraw(
    links: &PeerPool,
    host: SocketAddr,
    attempt: AttemptToken,
) -> Result<bool, FrameError> {
    let head = StreamHead::Withdraw(attempt);
    let WithdrawalAck(known) = call(links, host, &head).await?;
    Ok(known)
}
