//! Tokens that let one call run at most once.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::Tick;

/// The right to run one call of a service at one incarnation of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Token {
    /// Random identity, unique over all tokens.
    pub id: u128,
    /// The service that the call is for.
    pub service: ServiceName,
    /// The node where the call may run.
    pub home: NodeName,
    /// The run of that node where the call may run; no other run has its record.
    pub incarnation: Incarnation,
    /// The home's time at the minting, estimated from below by the node that minted the token.
    pub tick: Tick,
}
