//! The task that owns the connections to peers.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::NodeName;
use quinn::Endpoint;
use tokio::sync::{mpsc, oneshot};

use super::server::serve_connection;
use super::{Link, PeerServices};
use crate::data::HostReport;
use crate::wire::{ControlReply, ControlRequest, HelloFrame};

/// The task that owns the connections to peers and opens them when they are first needed.
pub struct Hub {
    endpoint: Endpoint,
    services: PeerServices,
    inbound: Vec<Link>,
    connect_timeout: Duration,
    slots: Map<NodeName, Slot>,
    tx: mpsc::UnboundedSender<HubMessage>,
    rx: mpsc::UnboundedReceiver<HubMessage>,
}

/// Handle to the connections.
#[derive(Clone, Debug)]
pub struct HubHandle {
    tx: mpsc::UnboundedSender<HubMessage>,
}

#[derive(Debug)]
enum HubMessage {
    Get(NodeName, SocketAddr, oneshot::Sender<Option<Link>>),
    Opened(NodeName, SocketAddr, Option<Link>),
    Forget(NodeName),
    Accepted(Link),
    TellAll(ControlRequest, Duration),
}

#[derive(Debug)]
enum Slot {
    Opening(SocketAddr, Vec<oneshot::Sender<Option<Link>>>),
    Open(SocketAddr, Link),
}

impl Hub {
    /// The task and its handle; streams that peers open on these connections are served by `services`.
    pub fn new(
        endpoint: Endpoint,
        services: PeerServices,
        connect_timeout: Duration,
    ) -> (Self, HubHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = HubHandle { tx: tx.clone() };
        let slots = Map::default();
        let inbound = Vec::new();
        (
            Self {
                endpoint,
                services,
                inbound,
                connect_timeout,
                slots,
                tx,
                rx,
            },
            handle,
        )
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        while let Some(message) = self.rx.recv().await {
            match message {
                HubMessage::Get(node, address, reply) => self.get(node, address, reply),
                HubMessage::Opened(node, address, link) => self.opened(node, address, link),
                HubMessage::Forget(node) => {
                    self.slots.remove(&node);
                }
                HubMessage::Accepted(link) => self.accepted(link),
                HubMessage::TellAll(request, patience) => self.tell_all(request, patience),
            }
        }
    }

    fn accepted(&mut self, link: Link) {
        self.inbound.retain(|link| !link.is_closed());
        self.inbound.push(link);
    }

    /// Tells everybody who has a connection here, in either direction.
    fn tell_all(&self, request: ControlRequest, patience: Duration) {
        let opened = self.slots.values().filter_map(|slot| match slot {
            Slot::Open(_, link) => Some(link),
            Slot::Opening(..) => None,
        });
        for link in opened.chain(&self.inbound).filter(|link| !link.is_closed()) {
            let (link, request) = (link.clone(), request.clone());
            tokio::spawn(async move { link.control(request, patience).await });
        }
    }

    fn get(&mut self, node: NodeName, address: SocketAddr, reply: oneshot::Sender<Option<Link>>) {
        match self.slots.get_mut(&node) {
            Some(Slot::Open(at, link)) if *at == address && !link.is_closed() => {
                let _ = reply.send(Some(link.clone()));
            }
            // Concurrent calls to one peer wait for one handshake instead of making one each.
            Some(Slot::Opening(at, waiting)) if *at == address => waiting.push(reply),
            _ => self.open(node, address, reply),
        }
    }

    fn open(&mut self, node: NodeName, address: SocketAddr, reply: oneshot::Sender<Option<Link>>) {
        self.slots
            .insert(node.clone(), Slot::Opening(address, vec![reply]));
        let opening = open(
            self.endpoint.clone(),
            node.clone(),
            address,
            self.services.clone(),
            self.connect_timeout,
        );
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let link = opening.await;
            let _ = tx.send(HubMessage::Opened(node, address, link));
        });
    }

    fn opened(&mut self, node: NodeName, address: SocketAddr, link: Option<Link>) {
        let Some(Slot::Opening(at, _)) = self.slots.get(&node) else {
            return;
        };
        if *at != address {
            return;
        }
        let Some(Slot::Opening(_, waiting)) = self.slots.remove(&node) else {
            return;
        };
        for reply in waiting {
            let _ = reply.send(link.clone());
        }
        if let Some(link) = link {
            self.slots.insert(node, Slot::Open(address, link));
        }
    }
}

impl HubHandle {
    /// The connection to a peer, opened if need be; `None` when it can't be reached.
    pub async fn link(&self, node: &NodeName, address: SocketAddr) -> Option<Link> {
        let (reply, link) = oneshot::channel();
        self.tx
            .send(HubMessage::Get(node.clone(), address, reply))
            .ok()?;
        link.await.ok().flatten()
    }

    /// Takes note of a connection that a peer opened.
    pub fn accepted(&self, link: Link) {
        let _ = self.tx.send(HubMessage::Accepted(link));
    }

    /// Tells everybody who has a connection to this node, without waiting for replies.
    pub fn tell_all(&self, request: ControlRequest, patience: Duration) {
        let _ = self.tx.send(HubMessage::TellAll(request, patience));
    }

    /// Closes the connection to a peer that has gone.
    pub fn forget(&self, node: &NodeName) {
        let _ = self.tx.send(HubMessage::Forget(node.clone()));
    }
}

async fn open(
    endpoint: Endpoint,
    node: NodeName,
    address: SocketAddr,
    services: PeerServices,
    patience: Duration,
) -> Option<Link> {
    // The certificate must be that of the named node: an address that the platform's lagging list still gives to a replaced
    // node would otherwise reach another one under its name.
    let connecting = endpoint.connect(address, node.as_str()).ok()?;
    let connection = tokio::time::timeout(patience, connecting)
        .await
        .ok()?
        .ok()?;
    let link = Link::new(connection.clone(), services.limits);
    let greeting = link.control(ControlRequest::Greet, patience).await.ok()?;
    let ControlReply::Hello(HelloFrame { report, .. }) = greeting else {
        return None;
    };
    services.routes.heard(HostReport::from(report));
    tokio::spawn(serve_connection(connection, services));
    Some(link)
}
