//! The links of a proxy.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::proxy::LinkFaults;

/// What a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// Connections.
    Tcp,
    /// Datagrams, such as QUIC.
    Udp,
}

/// Everything that a proxy process does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Address of the control interface; none where missing.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The links.
    pub links: Vec<LinkPlan>,
}

/// One link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPlan {
    /// Name, unique in the plan.
    pub name: SmolStr,
    /// What it carries.
    pub protocol: Protocol,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address to pass on to.
    pub to: SocketAddr,
    /// Faults from the start.
    #[serde(default)]
    pub faults: LinkFaults,
    /// Seed of jitter, loss, reordering and duplicates.
    #[serde(default)]
    pub seed: u64,
    /// TCP: refuses connections for as long as the far end does, so that a process that has ended looks so.
    #[serde(default)]
    pub mirrors_refusal: bool,
}

impl LinkPlan {
    /// A link without faults that listens on a free loopback port.
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
