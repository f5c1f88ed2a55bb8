//! The state of a node as shown to operators.

use coltsfootport_core::id::{DomainName, NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The state of a node at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node's name.
    pub node: NodeName,
    /// This run of the node, 32 hexadecimal digits.
    pub incarnation: SmolStr,
    /// The service of its target.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Phase of its lifecycle.
    pub phase: SmolStr,
    /// One entry a document that the node knows of.
    pub documents: Vec<DocumentStatus>,
    /// Its view of the platform.
    pub platform: PlatformStatus,
    /// One entry a node that it sends calls to.
    pub peers: Vec<PeerStatus>,
    /// Admission in front of its target.
    pub admission: AdmissionStatus,
    /// Its table of idempotency tokens.
    pub tokens: TokenStatus,
    /// Breaches of each invariant since the start.
    pub invariants: Vec<InvariantCount>,
}

/// One service's document at a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStatus {
    /// The service.
    pub service: ServiceName,
    /// Highest revision that the node has heard of.
    pub revision: u64,
    /// Revision that it acts on; absent while none was valid.
    pub in_force: Option<u64>,
    /// Faults of the highest revision with their positions, where it was rejected.
    pub rejected: Vec<SmolStr>,
}

/// The platform as seen by a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the last read succeeded.
    pub reachable: bool,
    /// Milliseconds since the last read that succeeded; absent before the first.
    pub last_read_ms: Option<u64>,
    /// Revision of the store as last read or heard of.
    pub revision: u64,
    /// Whether this node reads for its failure domain.
    pub reader: bool,
}

/// A peer as seen by a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer.
    pub node: NodeName,
    /// The service of its target.
    pub service: ServiceName,
    /// State of the connection and of the peer.
    pub state: SmolStr,
    /// Calls that this node has sent there and not seen answered.
    pub in_flight: u32,
    /// Whether routing leaves the peer out for its failures.
    pub ejected: bool,
}

/// Admission in front of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// How the limit is found.
    pub mode: SmolStr,
    /// Calls that the target may work on at once.
    pub limit: u32,
    /// Calls that it works on now.
    pub in_flight: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Admission level; 0 sheds nothing.
    pub level: u32,
}

/// The table of idempotency tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenStatus {
    /// Tokens that are remembered.
    pub kept: u64,
    /// Tokens that can be remembered.
    pub capacity: u64,
}

/// Breaches of an invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvariantCount {
    /// Label of the invariant.
    pub invariant: SmolStr,
    /// Breaches since the start.
    pub breaches: u64,
}
