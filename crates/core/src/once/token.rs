//! Tokens for at-most-once execution.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::Tick;

/// Permits one call of a service at one incarnation of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Token {
    /// Random id, unique across all tokens.
    pub id: u128,
    /// Service to call.
    pub service: ServiceName,
    /// Node where the call may run.
    pub home: NodeName,
    /// Incarnation of that node where the call may run; no other incarnation has its record.
    pub incarnation: Incarnation,
    /// Lower bound of the home's time at the creation of the token, estimated by the node that minted it.
    pub tick: Tick,
}
