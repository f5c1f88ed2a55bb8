//! The links of a proxy and the controller that changes their faults.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::error::RigError;
use crate::proxy::counters::LinkCounters;
use crate::proxy::{LinkCounts, LinkFaults, LinkPlan, Protocol, tcp, udp};

/// State shared by the tasks of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address to forward to.
    pub to: SocketAddr,
    /// Seed of the link's random number generators.
    pub seed: u64,
    /// See [`LinkPlan::mirrors_refusal`].
    pub mirrors_refusal: bool,
    /// Current faults.
    pub faults: watch::Receiver<LinkFaults>,
    /// Traffic counters.
    pub counters: Arc<LinkCounters>,
}

/// Snapshot of a link, as reported by the control interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkState {
    /// Name of the link.
    pub name: SmolStr,
    /// Listen address.
    pub listen: SocketAddr,
    /// Current faults.
    pub faults: LinkFaults,
    /// Traffic counts.
    pub counts: LinkCounts,
}

/// Running links. Dropping this stops them.
#[derive(Debug)]
pub struct Links {
    controller: LinkController,
    _tasks: JoinSet<()>,
}

/// Reads the state of running links and changes their faults.
#[derive(Clone, Debug)]
pub struct LinkController {
    handles: Arc<Vec<LinkHandle>>,
}

#[derive(Debug)]
struct LinkHandle {
    name: SmolStr,
    listen: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    counters: Arc<LinkCounters>,
}

impl Links {
    /// Validates, binds and starts the links in order; fails on the first link that is invalid or cannot be bound.
    pub async fn open(plans: Vec<LinkPlan>) -> Result<Self, RigError> {
        let mut handles: Vec<LinkHandle> = Vec::with_capacity(plans.len());
        let mut tasks = JoinSet::new();
        for plan in plans {
            plan.faults.check()?;
            if handles.iter().any(|handle| handle.name == plan.name) {
                return Err(RigError::Settings(format!(
                    "duplicate link name: {}",
                    plan.name
                )));
            }
            handles.push(open(plan, &mut tasks).await?);
        }
        Ok(Self {
            controller: LinkController {
                handles: Arc::new(handles),
            },
            _tasks: tasks,
        })
    }

    /// Returns a controller for the links.
    pub fn controller(&self) -> LinkController {
        self.controller.clone()
    }
}

impl LinkController {
    /// Returns the state of the link called `name`.
    pub fn state(&self, name: &str) -> Option<LinkState> {
        self.handles
            .iter()
            .find(|handle| handle.name == name)
            .map(LinkHandle::state)
    }

    /// Returns the state of every link.
    pub fn states(&self) -> Vec<LinkState> {
        self.handles.iter().map(LinkHandle::state).collect()
    }

    /// Replaces the faults of every link whose name matches; returns the number of matching links.
    pub fn set(&self, pattern: &str, faults: &LinkFaults) -> usize {
        let matching = self.matching(pattern);
        let changed = matching.map(|handle| handle.faults.send_replace(faults.clone()));
        changed.count()
    }

    /// Merges a JSON object into the faults of every link whose name matches; returns the changed links.
    pub fn patch(&self, pattern: &str, patch: &[u8]) -> Result<Vec<LinkState>, RigError> {
        let mut changed = Vec::new();
        for handle in self.matching(pattern) {
            let faults = handle.faults.borrow().with_patch(patch)?;
            handle.faults.send_replace(faults);
            changed.push(handle.state());
        }
        Ok(changed)
    }

    fn matching<'a>(&'a self, pattern: &'a str) -> impl Iterator<Item = &'a LinkHandle> {
        self.handles
            .iter()
            .filter(move |handle| match pattern.strip_suffix('*') {
                Some(prefix) => handle.name.starts_with(prefix),
                None => handle.name == pattern,
            })
    }
}

impl LinkHandle {
    fn state(&self) -> LinkState {
        LinkState {
            name: self.name.clone(),
            listen: self.listen,
            faults: self.faults.borrow().clone(),
            counts: self.counters.counts(),
        }
    }
}

async fn open(plan: LinkPlan, tasks: &mut JoinSet<()>) -> Result<LinkHandle, RigError> {
    let (faults, faults_rx) = watch::channel(plan.faults);
    let counters = Arc::new(LinkCounters::default());
    let link = Link {
        to: plan.to,
        seed: plan.seed,
        mirrors_refusal: plan.mirrors_refusal,
        faults: faults_rx,
        counters: Arc::clone(&counters),
    };
    let listen = match plan.protocol {
        Protocol::Tcp => {
            let listener = TcpListener::bind(plan.listen).await?;
            let listen = listener.local_addr()?;
            tasks.spawn(tcp::run(listener, link));
            listen
        }
        Protocol::Udp => {
            let socket = UdpSocket::bind(plan.listen).await?;
            let listen = socket.local_addr()?;
            tasks.spawn(udp::run(socket, link));
            listen
        }
    };
    Ok(LinkHandle {
        name: plan.name,
        listen,
        faults,
        counters,
    })
}
