//! Section `target`: address and capacity of the node's target.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootport_core::jsonc::{Item, Section};
use smol_str::SmolStr;

/// Address and capacity of the node's target.
///
/// `slots` and `cold_start` are hints, from which the defaults of `admission` are derived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// Address of the target's HTTP listener.
    pub address: SocketAddr,
    /// Number of calls that the target can run concurrently.
    pub slots: u32,
    /// Maximum number of idle connections kept open to the target.
    pub connections: u32,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Path of the target's health endpoint, if it has one.
    pub health_path: Option<SmolStr>,
    /// Time that the target needs after its start to reach full speed.
    pub cold_start: Duration,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            slots: 32,
            connections: 256,
            connect_timeout: Duration::from_millis(250),
            health_path: None,
            cold_start: Duration::from_secs(2),
        }
    }
}

impl TargetSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let default = Self::default();
        let address = section.required("address").and_then(Item::peer_address);
        let slots = section.integer("slots", 1..=10_000, default.slots);
        let connections = section.integer("connections", 1..=65_535, default.connections);
        let timeout = default.connect_timeout;
        let connect_timeout = section.millis("connect_timeout_ms", 1..=10_000, timeout);
        let health_path = section.optional("health_path").and_then(read_path);
        let cold_start = section.millis("cold_start_ms", 0..=600_000, default.cold_start);
        section.finish();
        let address = address?;
        Some(Self {
            address,
            slots,
            connections,
            connect_timeout,
            health_path,
            cold_start,
        })
    }
}

fn read_path(item: Item<'_, '_>) -> Option<SmolStr> {
    item.parsed(|text| match text.starts_with('/') {
        true => Ok(SmolStr::new(text)),
        false => Err("a path must start with \"/\"".to_owned()),
    })
}
