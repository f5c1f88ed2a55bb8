//! Section `listen`: addresses of the node's listeners.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use coltsfootport_core::jsonc::{FaultKind, Item, Presence, Section};

/// Addresses of the four listeners. With port 0, the operating system chooses a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// HTTP listener for callers outside the service graph.
    pub callers: SocketAddr,
    /// HTTP listener for calls of the local target; must be on a loopback address.
    pub egress: SocketAddr,
    /// QUIC listener for other nodes.
    pub peers: SocketAddr,
    /// HTTP listener for operators.
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
            // The egress listener trusts the contexts that it receives. On any other interface, every process on the
            // network could make calls on behalf of a call in flight, which would show only as spent retry allowances.
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
