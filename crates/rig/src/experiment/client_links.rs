//! Proxied links from clients to the callers' listener of each node, with added latency.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::proxy::{DirectionFaults, LinkFaults, LinkPlan, Plan, Protocol, Proxy};

use super::deployment::DOMAINS;

/// One-way latency between clients and nodes.
const CLIENT_LATENCY: Duration = Duration::from_millis(1);

/// One-way latency between failure domains.
const DOMAIN_LATENCY: Duration = Duration::from_micros(1500);

/// Proxied links from clients to each node.
#[derive(Debug)]
pub(super) struct ClientLinks {
    /// Proxy addresses that clients send requests to, one for each node.
    pub entries: Vec<SocketAddr>,
    /// Held so that the links stay open.
    _proxy: Proxy,
}

impl ClientLinks {
    pub(super) async fn open(fleet: &Fleet) -> Result<Self, RigError> {
        let mut links = Vec::new();
        for member in fleet.members.values() {
            let to = member.addresses.callers;
            links.push(LinkPlan {
                faults: LinkFaults::both(DirectionFaults::latency(CLIENT_LATENCY)),
                ..LinkPlan::new(member.name.clone(), Protocol::Tcp, to)
            });
        }
        let proxy = Proxy::start(Plan {
            control: None,
            links,
        })
        .await?;
        let names = fleet.members.keys();
        Ok(Self {
            entries: names.filter_map(|name| proxy.addr(name)).collect(),
            _proxy: proxy,
        })
    }
}

/// Sets the latency of links between failure domains and restores all links that were cut.
pub(super) fn set_domain_latency(fleet: &mut Fleet) {
    let faults = LinkFaults::both(DirectionFaults::latency(DOMAIN_LATENCY));
    fleet.heal();
    for from in DOMAINS {
        for to in DOMAINS.into_iter().filter(|to| *to != from) {
            fleet.set_links(from, to, &faults);
        }
    }
}
