//! Fault-injecting proxy for TCP and UDP links between two addresses.

mod control;
mod counters;
mod direction;
mod faults;
mod links;
mod pacer;
mod plan;
mod schedule;
mod tcp;
mod udp;

use std::net::SocketAddr;

use crate::error::RigError;
use crate::http::{self, Server};
use crate::proxy::links::Links;

pub use self::counters::{DirectionCounts, LinkCounts};
pub use self::faults::{Cut, DirectionFaults, LinkFaults, SenderFaults};
pub use self::links::LinkState;
pub use self::pacer::Pacer;
pub use self::plan::{LinkPlan, Plan, Protocol};
pub use self::schedule::Schedule;

/// A running proxy. Dropping it stops its links and closes their connections.
#[derive(Debug)]
pub struct Proxy {
    links: Links,
    control: Option<Server>,
}

impl Proxy {
    /// Opens every link in the plan and, if the plan sets a control address, the control interface.
    pub async fn start(plan: Plan) -> Result<Self, RigError> {
        let links = Links::open(plan.links).await?;
        let control = match plan.control {
            Some(addr) => Some(control::start(http::bind(addr).await?, links.controller())?),
            None => None,
        };
        Ok(Self { links, control })
    }

    /// Returns the listen address of a link.
    pub fn addr(&self, link: &str) -> Option<SocketAddr> {
        self.links
            .controller()
            .state(link)
            .map(|state| state.listen)
    }

    /// Returns the address of the control interface, if one is configured.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// Replaces the faults of every link whose name matches `pattern`, which is either a full name or a prefix followed
    /// by `*`. Returns the number of matching links.
    pub fn set(&self, pattern: &str, faults: &LinkFaults) -> usize {
        self.links.controller().set(pattern, faults)
    }

    /// Returns the faults and counts of every link.
    pub fn states(&self) -> Vec<LinkState> {
        self.links.controller().states()
    }
}
