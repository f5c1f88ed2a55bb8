//! Section `advertise`: public addresses of the node, if they differ from those in `listen`.

use std::net::SocketAddr;

use coltsfootport_core::jsonc::{FaultKind, Item, Presence, Section};

use super::ListenSettings;

/// Advertised addresses, for nodes behind network address translation or a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// Address at which other nodes reach the peers listener.
    pub peers: Option<SocketAddr>,
    /// Address at which operators reach the operators listener.
    pub operators: Option<SocketAddr>,
}

impl AdvertiseSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let peers = section
            .optional_strict("peers")
            .and_then(Item::peer_address);
        let operators = section
            .optional_strict("operators")
            .and_then(Item::peer_address);
        section.finish();
        Self { peers, operators }
    }

    /// Reports an unspecified address such as `0.0.0.0:7101`, to which no other node can connect.
    ///
    /// A node that advertised it would run but never be called. Rejecting the settings reveals the mistake at startup.
    pub(super) fn check(&self, listen: &ListenSettings, root: &mut Section<'_, '_>) {
        let peers = self.peers.unwrap_or(listen.peers);
        if peers.ip().is_unspecified() {
            let message = "\"advertise.peers\" must be set to the address that other nodes connect to, \
                           because \"listen.peers\" is an unspecified address";
            root.fault("advertise", Presence::Required, FaultKind::Invalid, message);
        }
    }
}
