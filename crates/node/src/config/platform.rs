//! Section `platform`: access to the configuration service and the instance list.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootport_core::jsonc::{Item, Section};

/// Settings of the reads from the platform, to which the node never writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Time for which the platform holds a watch while there is no change.
    pub watch: Duration,
    /// Mean time between reads by a node that is not a reader of its failure domain.
    pub fallback_read: Duration,
    /// Timeout of a read, in addition to the time for which a watch is held.
    pub timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            watch: Duration::from_secs(2),
            fallback_read: Duration::from_secs(10),
            timeout: Duration::from_secs(2),
        }
    }
}

impl PlatformSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let default = Self::default();
        let address = section.required("address").and_then(Item::peer_address);
        let watch = section.millis("watch_ms", 10..=300_000, default.watch);
        let fallback = default.fallback_read;
        let fallback_read = section.millis("fallback_read_ms", 100..=3_600_000, fallback);
        let timeout = section.millis("timeout_ms", 10..=60_000, default.timeout);
        section.finish();
        Some(Self {
            address: address?,
            watch,
            fallback_read,
            timeout,
        })
    }
}
