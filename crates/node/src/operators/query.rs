//! Queries from the operators listener to the node tasks, and their replies.

use std::net::SocketAddr;

use coltsfootport_core::id::{NodeName, ServiceName};
use coltsfootport_core::timeline::{Filter, Record};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::status_report::StatusReport;

/// A query with the channel for its reply.
///
/// The requester may have disconnected before the reply is sent, so a failed send on the channel is not an error.
#[derive(Debug)]
pub enum OperatorQuery {
    /// Returns the state of the node.
    Status(oneshot::Sender<StatusReport>),
    /// Returns records of the timeline.
    Timeline {
        /// Selects the records.
        filter: Filter,
        /// Receives the matching records.
        reply: oneshot::Sender<TimelinePage>,
    },
    /// Returns the operators addresses of all nodes known to this node, including its own.
    Nodes(oneshot::Sender<Vec<NodeAddress>>),
    /// Returns whether the node accepts new work.
    Health(oneshot::Sender<HealthReport>),
    /// Starts a graceful shutdown.
    Drain(oneshot::Sender<DrainReply>),
}

/// Timeline records that match a filter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TimelinePage {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// Number of records that the node has dropped since it started because the timeline was full.
    pub dropped: u64,
}

/// A node and the address of its operators listener.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Name of the node.
    pub node: NodeName,
    /// Service of the node's target.
    pub service: ServiceName,
    /// Address of the operators listener.
    pub operators: SocketAddr,
}

/// Readiness of a node, returned by `GET /health`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Whether the node accepts new work.
    pub ready: bool,
    /// Lifecycle phase of the node.
    pub phase: SmolStr,
}

/// Reply to `POST /drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReply {
    /// False if the node was already shutting down.
    pub begun: bool,
    /// Number of calls still in flight.
    pub in_flight: u64,
}
