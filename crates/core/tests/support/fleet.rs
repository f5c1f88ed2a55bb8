//! A synthetic fleet for tests.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

use coltsfootport_core::dissemination::Revision;
use coltsfootport_core::id::{DomainName, NodeName, RegionName, ServiceName};
use coltsfootport_core::membership::{InstanceEntry, ListedState, MembershipConfig, View};

pub fn entry(index: usize, service: &str, domain: usize, state: ListedState) -> InstanceEntry {
    let port = 10_000 + u16::try_from(index).expect("the index fits into a port number");
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    InstanceEntry {
        node: node(index),
        service: ServiceName::from(service),
        domain: DomainName::from(format!("domain-{domain}").as_str()),
        region: RegionName::from(format!("region-{}", domain % 3).as_str()),
        peer: address,
        operators: address,
        state,
    }
}

pub fn node(index: usize) -> NodeName {
    NodeName::from(format!("node-{index}").as_str())
}

/// Entries of `nodes` live nodes, distributed evenly over the domains, with eight instances per service.
pub fn list(nodes: usize, domains: usize) -> Vec<InstanceEntry> {
    let live = |index| {
        entry(
            index,
            &format!("service-{}", index / 8),
            index % domains,
            ListedState::Live,
        )
    };
    (0..nodes).map(live).collect()
}

/// A membership view that contains the nodes of [`list`].
#[allow(dead_code, reason = "not every test file uses a view")]
pub fn view(nodes: usize, domains: usize, now: Instant) -> View {
    let mut view = View::new(MembershipConfig::default());
    view.apply_list(Revision(1), list(nodes, domains), now);
    view
}
