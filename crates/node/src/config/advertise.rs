//! Section `advertise`: addresses that others connect to, where these differ from `listen`.

use std::net::SocketAddr;

use coltsfootport_core::jsonc::{FaultKind, Item, Presence, Section};

use super::ListenSettings;

/// Addresses told to others, for nodes behind an address translation or a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// Address of the peers listener as other nodes reach it.
    pub peers: Option<SocketAddr>,
    /// Address of the operators listener as operators reach it.
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

    /// Reports an address that nobody can connect to.
    ///
    /// Others would be told an address such as `0.0.0.0:7101` and fail to connect: the node would run and never be
    /// called. Refusing the settings shows it at the start.
    pub(super) fn check(&self, listen: &ListenSettings, root: &mut Section<'_, '_>) {
        let peers = self.peers.unwrap_or(listen.peers);
        if peers.ip().is_unspecified() {
            let message = "\"advertise.peers\" must give the address that other nodes connect to, \
                           because \"listen.peers\" is not one address";
            root.fault("advertise", Presence::Required, FaultKind::Invalid, message);
        }
    }
}
