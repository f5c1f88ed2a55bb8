//! Configuration of a proxy and its links.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::proxy::LinkFaults;

/// Transport protocol of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// TCP connections.
    Tcp,
    /// UDP datagrams, such as those of QUIC.
    Udp,
}

/// Configuration of a proxy process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Address of the control interface, which is disabled if this is not set.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Links to open.
    pub links: Vec<LinkPlan>,
}

/// Configuration of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPlan {
    /// Name, unique within the plan.
    pub name: SmolStr,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub to: SocketAddr,
    /// Initial faults.
    #[serde(default)]
    pub faults: LinkFaults,
    /// Seed of the random jitter, loss, reordering and duplication.
    #[serde(default)]
    pub seed: u64,
    /// TCP: refuses connections for as long as the upstream address does, so that a process that has exited also appears
    /// down through the link.
    #[serde(default)]
    pub mirrors_refusal: bool,
}

impl LinkPlan {
    /// Creates a link without faults that listens on a free loopback port.
    pub fn new<N>(name: N, protocol: Protocol, to: SocketAddr) -> Self
    where
        N: Into<SmolStr>,
    {
        Self {
            name: name.into(),
            protocol,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            to,
            faults: LinkFaults::default(),
            seed: 0,
            mirrors_refusal: false,
        }
    }
}
