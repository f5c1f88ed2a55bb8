//! Task that exchanges findings about requests that crash targets with other nodes: it pushes new findings and pulls
//! missed ones.

use std::net::{IpAddr, SocketAddr};

use coltsfootport_core::quarantine::Finding;
use slog::{Logger, debug};
use tokio::sync::mpsc;

use super::controller::{ControllerEvent, ControllerHandle};
use super::link::{self, PeerPool};

/// A message about findings that the controller wants sent to other nodes.
#[derive(Debug)]
pub enum FindingsMessage {
    /// Sends findings to these nodes.
    Push(Vec<IpAddr>, Vec<Finding>),
    /// Asks a node for its findings, unless its registry has the given digest.
    Pull(IpAddr, u64),
}

/// Exchanges findings for as long as the controller runs.
#[derive(Clone)]
pub struct FindingsExchange {
    /// Receives the pulled findings.
    pub controller: ControllerHandle,
    /// Links to other nodes.
    pub links: PeerPool,
    /// Port on which nodes accept connections from peers.
    pub peers_port: u16,
    /// Logger.
    pub log: Logger,
}

impl FindingsExchange {
    /// Runs until the controller has stopped. Each message is sent by a task of its own, so that an unresponsive node
    /// does not delay the others.
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
        // A node that is unreachable now gets the findings from other nodes or by its next pull.
        if let Err(e) = link::push_findings(&self.links, self.address(node), &findings).await {
            debug!(self.log, "cannot push findings"; "peer" => %node, "reason" => %e);
        }
    }

    async fn pull(self, node: IpAddr, digest: u64) {
        match link::pull_findings(&self.links, self.address(node), digest).await {
            Ok(findings) if findings.is_empty() => {}
            Ok(findings) => self
                .controller
                .notify(ControllerEvent::FindingsReceived(findings)),
            Err(e) => debug!(self.log, "cannot pull findings"; "peer" => %node, "reason" => %e),
        }
    }

    fn address(&self, node: IpAddr) -> SocketAddr {
        SocketAddr::new(node, self.peers_port)
    }
}
