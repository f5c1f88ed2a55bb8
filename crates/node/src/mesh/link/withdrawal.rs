//! Takes requests back from their hosts.

use std::net::SocketAddr;

use coltsfootport_core::quarantine::Fingerprint;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::PeerPool;
use super::frames::StreamHead;
use super::rpc::call;
use crate::mesh::controller::Withdrawal;
use crate::wire::FrameError;

/// Names a request that its sender takes back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalFrame {
    id: SmolStr,
    fingerprint: Fingerprint,
}

impl From<Withdrawal> for WithdrawalFrame {
    fn from(withdrawal: Withdrawal) -> Self {
        Self {
            id: withdrawal.id,
            fingerprint: withdrawal.fingerprint,
        }
    }
}

impl From<WithdrawalFrame> for Withdrawal {
    fn from(frame: WithdrawalFrame) -> Self {
        Self {
            id: frame.id,
            fingerprint: frame.fingerprint,
        }
    }
}

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
    withdrawal: Withdrawal,
) -> Result<bool, FrameError> {
    let head = StreamHead::Withdraw(withdrawal.into());
    let WithdrawalAck(known) = call(links, host, &head).await?;
    Ok(known)
}
