//! The links of a proxy and the remote control of them.

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

/// What the tasks of a link share.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address to pass on to.
    pub to: SocketAddr,
    /// Seed of the link's draws.
    pub seed: u64,
    /// See [`LinkPlan::mirrors_refusal`].
    pub mirrors_refusal: bool,
    /// Current faults.
    pub faults: watch::Receiver<LinkFaults>,
    /// What passed.
    pub counters: Arc<LinkCounters>,
}

/// A link as seen from outside.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkState {
    /// Name.
    pub name: SmolStr,
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// Current faults.
    pub faults: LinkFaults,
    /// What passed.
    pub counts: LinkCounts,
}

/// Running links; they end when this is dropped.
#[derive(Debug)]
pub struct Links {
    remote: Remote,
    _tasks: JoinSet<()>,
}

/// Remote control of running links.
#[derive(Clone, Debug)]
pub struct Remote {
    entries: Arc<Vec<RemoteEntry>>,
}

#[derive(Debug)]
struct RemoteEntry {
    name: SmolStr,
    listen: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    counters: Arc<LinkCounters>,
}

impl Links {
    /// Binds every link before any of them passes something on.
    pub async fn open(plans: Vec<LinkPlan>) -> Result<Self, RigError> {
        let mut entries: Vec<RemoteEntry> = Vec::with_capacity(plans.len());
        let mut tasks = JoinSet::new();
        for plan in plans {
            plan.faults.check()?;
            if entries.iter().any(|entry| entry.name == plan.name) {
                return Err(RigError::Settings(format!(
                    "two links are named {}",
                    plan.name
                )));
            }
            entries.push(open(plan, &mut tasks).await?);
        }
        Ok(Self {
            remote: Remote {
                entries: Arc::new(entries),
            },
            _tasks: tasks,
        })
    }

    /// Remote control.
    pub fn remote(&self) -> Remote {
        self.remote.clone()
    }
}

impl Remote {
    /// One link.
    pub fn state(&self, name: &str) -> Option<LinkState> {
        self.entries
            .iter()
            .find(|entry| entry.name == name)
            .map(RemoteEntry::state)
    }

    /// Every link.
    pub fn states(&self) -> Vec<LinkState> {
        self.entries.iter().map(RemoteEntry::state).collect()
    }

    /// Sets the faults of every link whose name matches; returns how many do.
    pub fn set(&self, pattern: &str, faults: &LinkFaults) -> usize {
        let matching = self.matching(pattern);
        let changed = matching.map(|entry| entry.faults.send_replace(faults.clone()));
        changed.count()
    }

    /// Changes some fields of the faults of every link whose name matches; returns the changed links.
    pub fn patch(&self, pattern: &str, patch: &[u8]) -> Result<Vec<LinkState>, RigError> {
        let mut changed = Vec::new();
        for entry in self.matching(pattern) {
            let faults = entry.faults.borrow().patched(patch)?;
            entry.faults.send_replace(faults);
            changed.push(entry.state());
        }
        Ok(changed)
    }

    fn matching<'a>(&'a self, pattern: &'a str) -> impl Iterator<Item = &'a RemoteEntry> {
        self.entries
            .iter()
            .filter(move |entry| match pattern.strip_suffix('*') {
                Some(prefix) => entry.name.starts_with(prefix),
                None => entry.name == pattern,
            })
    }
}

impl RemoteEntry {
    fn state(&self) -> LinkState {
        LinkState {
            name: self.name.clone(),
            listen: self.listen,
            faults: self.faults.borrow().clone(),
            counts: self.counters.counts(),
        }
    }
}

async fn open(plan: LinkPlan, tasks: &mut JoinSet<()>) -> Result<RemoteEntry, RigError> {
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
    Ok(RemoteEntry {
        name: plan.name,
        listen,
        faults,
        counters,
    })
}
