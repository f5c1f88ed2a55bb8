//! Questions of operators to the node's tasks.

use std::net::SocketAddr;

use coltsfootport_core::id::{NodeName, ServiceName};
use coltsfootport_core::timeline::{Filter, Record};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::status_report::StatusReport;

/// A question with the channel for its answer.
///
/// Whoever asked may be gone by the time of the answer, so a failed send of it is no fault.
#[derive(Debug)]
pub enum OperatorQuery {
    /// The state of the node.
    Status(oneshot::Sender<StatusReport>),
    /// Records of the time line.
    Timeline {
        /// Which records.
        filter: Filter,
        /// Takes the answer.
        reply: oneshot::Sender<TimelinePage>,
    },
    /// The operators addresses of all nodes known here, this one included.
    Nodes(oneshot::Sender<Vec<NodeAddress>>),
    /// Whether the node takes new work.
    Health(oneshot::Sender<HealthReport>),
    /// Begin a graceful shutdown.
    Drain(oneshot::Sender<DrainReply>),
}

/// Records that meet a filter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TimelinePage {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// Records that this node has dropped since its start to make room.
    pub dropped: u64,
}

/// Where a node answers operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// The node.
    pub node: NodeName,
    /// The service of its target.
    pub service: ServiceName,
    /// Its operators listener.
    pub operators: SocketAddr,
}

/// Whether a node takes new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// True while new work is taken.
    pub ready: bool,
    /// Phase of the lifecycle.
    pub phase: SmolStr,
}

/// What became of the wish to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReply {
    /// False where the node was leaving already.
    pub begun: bool,
    /// Calls that are still to be finished.
    pub in_flight: u64,
}
