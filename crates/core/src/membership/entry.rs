//! Instances in the platform's list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainName, NodeName, RegionName, ServiceName};

/// State of an instance in the platform's list, which lags behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance may receive work.
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// An instance with the addresses of its node, as returned by `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the node that serves the instance.
    pub node: NodeName,
    /// Service of the instance.
    pub service: ServiceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Region that contains the failure domain.
    pub region: RegionName,
    /// Address of the node's listener for peers.
    pub peer: SocketAddr,
    /// Address of the node's listener for operators.
    pub operators: SocketAddr,
    /// State in the platform's list.
    pub state: ListedState,
}
