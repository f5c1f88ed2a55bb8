//! Section `listen`: the addresses of the node's listeners.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use coltsfootport_core::jsonc::{FaultKind, Item, Presence, Section};

/// Addresses of the four listeners; port 0 lets the system choose one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// HTTP for callers outside the graph.
    pub callers: SocketAddr,
    /// HTTP for the node's own target, on the loopback interface only.
    pub egress: SocketAddr,
    /// QUIC for other nodes.
    pub peers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            callers: any_port,
            egress: any_port,
            peers: any_port,
            operators: any_port,
        }
    }
}

impl ListenSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let callers = section.required("callers").and_then(Item::address);
        let egress = section.required("egress").and_then(Item::address);
        let peers = section.required("peers").and_then(Item::address);
        let operators = section.required("operators").and_then(Item::address);
        if egress.is_some_and(|address| !address.ip().is_loopback()) {
            // The egress listener trusts its contexts. On another interface any process of the network could make calls
            // in the name of a call in flight, seen only as spent allowances; loopback leaves it to the own target.
            let message = "the egress listener must have a loopback address";
            section.fault("egress", Presence::Required, FaultKind::Invalid, message);
        }
        section.finish();
        Some(Self {
            callers: callers?,
            egress: egress?,
            peers: peers?,
            operators: operators?,
        })
    }
}
