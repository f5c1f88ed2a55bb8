//! Status report of a node, returned by `GET /status`.

use coltsfootport_core::id::{DomainName, NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Snapshot of the state of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the node.
    pub node: NodeName,
    /// Identifier of the current process lifetime of the node, 32 hexadecimal digits.
    pub incarnation: SmolStr,
    /// Service of the node's target.
    pub service: ServiceName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Lifecycle phase of the node.
    pub phase: SmolStr,
    /// Documents known to the node, one entry per service.
    pub documents: Vec<DocumentStatus>,
    /// The node's view of the platform.
    pub platform: PlatformStatus,
    /// Nodes that this node sends calls to.
    pub peers: Vec<PeerStatus>,
    /// Admission control in front of the target.
    pub admission: AdmissionStatus,
    /// Usage of the idempotency token table.
    pub tokens: TokenStatus,
    /// Violation count of each invariant since the node started.
    pub invariants: Vec<InvariantCount>,
}

/// State of the document of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStatus {
    /// Service that the document configures.
    pub service: ServiceName,
    /// Highest revision known to the node.
    pub revision: u64,
    /// Active revision; absent until a valid revision has been received.
    pub in_force: Option<u64>,
    /// Errors in the highest revision with their positions, if that revision was rejected.
    pub rejected: Vec<SmolStr>,
}

/// Platform state as seen by a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the last read succeeded.
    pub reachable: bool,
    /// Milliseconds since the last successful read; absent before the first.
    pub last_read_ms: Option<u64>,
    /// Latest known store revision, read from the platform or received from a peer.
    pub revision: u64,
    /// Whether this node reads the platform on behalf of its failure domain.
    pub reader: bool,
}

/// Peer state as seen by a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the peer.
    pub node: NodeName,
    /// Service of the peer's target.
    pub service: ServiceName,
    /// Combined state of the peer and the connection to it.
    pub state: SmolStr,
    /// Calls sent to the peer that have not been answered yet.
    pub in_flight: u32,
    /// Whether routing excludes the peer because of its failures.
    pub ejected: bool,
}

/// State of admission control in front of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// How the concurrency limit is determined.
    pub mode: SmolStr,
    /// Maximum number of calls that the target processes concurrently.
    pub limit: u32,
    /// Calls that the target is processing.
    pub in_flight: u32,
    /// Calls waiting in the queue.
    pub queued: u32,
    /// Admission level; at 0 no calls are shed.
    pub level: u32,
}

/// Usage of the idempotency token table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenStatus {
    /// Tokens stored in the table.
    pub kept: u64,
    /// Maximum number of tokens in the table.
    pub capacity: u64,
}

/// Violation count of an invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvariantCount {
    /// Label of the invariant.
    pub invariant: SmolStr,
    /// Violations since the node started.
    pub breaches: u64,
}
