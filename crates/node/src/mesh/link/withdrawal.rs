//! Takes requests back from their hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::PeerPool;
use super::frames::StreamHead;
use super::rpc::call;
use crate::mesh::call::AttemptToken;
use crate::wire::FrameError;

/// Acknowledges a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithdrawalAck {
    /// The host does not know the request. This must stay the first variant: the refusal that a closing host sends in
    /// place of any reply is decoded as it.
    NotFound,
    /// The request waited or runs at the host.
    Found,
}

impl WithdrawalAck {
    /// Creates the acknowledgement of a request that was found, or not.
    pub fn new(is_found: bool) -> Self {
        match is_found {
            true => Self::Found,
            false => Self::NotFound,
        }
    }
}

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
    let ack: WithdrawalAck = call(links, host, &head).await?;
    Ok(ack == WithdrawalAck::Found)
}
