//! The task that exchanges findings about requests that crash targets with other nodes: pushes of what is new, pulls of the rest.

use std::net::{IpAddr, SocketAddr};

use coltsfootport_core::quarantine::Finding;
use slog::{Logger, debug};
use tokio::sync::mpsc;

use super::controller::{ControllerEvent, ControllerHandle};
use super::link::{self, PeerPool};

/// What the controller wants other nodes to be told or asked.
#[derive(Debug)]
pub enum FindingsMessage {
    /// Tell these nodes.
    Push(Vec<IpAddr>, Vec<Finding>),
    /// Ask this node for what it knows, unless that is what the digest stands for.
    Pull(IpAddr, u64),
}

/// Exchanges findings for as long as the controller lives.
#[derive(Clone)]
pub struct FindingsSpreader {
    /// Who decides.
    pub controller: ControllerHandle,
    /// Links to other nodes.
    pub links: PeerPool,
    /// Port at which nodes take messages of others.
    pub peers_port: u16,
    /// Log.
    pub log: Logger,
}

impl FindingsSpreader {
    /// Runs until the controller is gone. A node that does not answer holds no other one up.
    pub async fn run(self, mut messages: mpsc::UnboundedReceiver<FindingsMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                FindingsMessage::Push(nodes, findings) => {
                    for node in nodes {
                        tokio::spawn(self.clone().push(node, findings.clone()));
                    }
                }
                FindingsMessage::Pull(node, digest) => {
                    tokio::spawn(self.clone().pull(node, digest));
                }
            }
        }
    }

    async fn push(self, node: IpAddr, findings: Vec<Finding>) {
        // A node that can't be reached now hears it from others, or asks when it can.
        if let Err(e) = link::push_findings(&self.links, self.address(node), &findings).await {
            debug!(self.log, "findings not told"; "peer" => %node, "reason" => %e);
        }
    }

    async fn pull(self, node: IpAddr, digest: u64) {
        match link::pull_findings(&self.links, self.address(node), digest).await {
            Ok(findings) if findings.is_empty() => {}
            Ok(findings) => self
                .controller
                .notify(ControllerEvent::FindingsReceived(findings)),
            Err(e) => debug!(self.log, "findings not pulled"; "peer" => %node, "reason" => %e),
        }
    }

    fn address(&self, node: IpAddr) -> SocketAddr {
        SocketAddr::new(node, self.peers_port)
    }
}
