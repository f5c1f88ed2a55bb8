//! The task that owns the connections to peers.

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::NodeName;
use quinn::Endpoint;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::pause::PauseDetector;
use super::server::serve_connection;
use super::{Link, PeerServices};
use crate::data::HostReport;
use crate::metrics::Rejected;
use crate::wire::{ControlReply, ControlRequest, HelloFrame};

/// The task that owns the connections to peers and opens them when they are first needed.
pub struct Hub {
    endpoint: Endpoint,
    services: PeerServices,
    inbound: Vec<Inbound>,
    hashes: RandomState,
    slots: Map<NodeName, Slot>,
    pauses: PauseDetector,
    tx: mpsc::UnboundedSender<HubMessage>,
    rx: mpsc::UnboundedReceiver<HubMessage>,
}

/// Handle to the connections.
#[derive(Clone, Debug)]
pub struct HubHandle {
    tx: mpsc::UnboundedSender<HubMessage>,
}

/// Whether another peer would do as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Insistence {
    AnyPeer,
    ThisPeer,
}

#[derive(Debug)]
enum HubMessage {
    Get(
        NodeName,
        SocketAddr,
        Insistence,
        oneshot::Sender<Option<Link>>,
    ),
    Opened(NodeName, SocketAddr, Option<Link>, u32),
    Accepted(Link),
    TellAll(ControlRequest, Duration),
}

/// A connection that a peer opened.
#[derive(Debug)]
struct Inbound {
    link: Link,
    /// Hash of the certificate that the peer showed.
    certificate: u64,
}

#[derive(Debug)]
enum Slot {
    Opening(SocketAddr, Vec<Waiting>),
    Open(SocketAddr, Link),
    /// Open before this process was paused; the peer may have given it up since.
    Unproven(SocketAddr, Link),
    Failed(Failure),
}

/// A call that waits for a connection.
#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<Option<Link>>,
    /// Whether it joined an attempt that had begun before and needs one of its own if that fails.
    insists: bool,
}

/// A peer that could not be reached.
#[derive(Clone, Copy, Debug)]
struct Failure {
    address: SocketAddr,
    until: Instant,
    failures: u32,
}

impl Hub {
    /// The task and its handle; streams that peers open on these connections are served by `services`. A connection without
    /// a packet ends after the idle timeout.
    pub fn new(
        endpoint: Endpoint,
        services: PeerServices,
        idle_timeout: Duration,
    ) -> (Self, HubHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = HubHandle { tx: tx.clone() };
        let slots = Map::default();
        let inbound = Vec::new();
        let pauses = PauseDetector::new(idle_timeout / 2, services.clock.now());
        (
            Self {
                endpoint,
                services,
                inbound,
                hashes: RandomState::new(),
                slots,
                pauses,
                tx,
                rx,
            },
            handle,
        )
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut looks = interval(self.pauses.longest / 2);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                message = self.rx.recv() => message,
                _ = looks.tick() => {
                    self.look_for_pause();
                    continue;
                }
            };
            let Some(message) = message else {
                return;
            };
            self.look_for_pause();
            match message {
                HubMessage::Get(node, address, insistence, reply) => {
                    self.get(node, address, insistence, reply);
                }
                HubMessage::Opened(node, address, link, failures) => {
                    self.opened(node, address, link, failures);
                }
                HubMessage::Accepted(link) => self.accepted(link),
                HubMessage::TellAll(request, patience) => self.tell_all(request, patience),
            }
        }
    }

    /// Takes note of a connection that a peer opened, and closes the oldest where it has too many.
    ///
    /// Places for streams are shared by all peers. One that opens connection after connection would take them all, seen as
    /// calls from other nodes that expire unserved.
    fn accepted(&mut self, link: Link) {
        self.inbound.retain(|inbound| !inbound.link.is_closed());
        let certificate = self.hashes.hash_one(link.identity());
        let mut same = self
            .inbound
            .iter()
            .filter(|inbound| inbound.certificate == certificate);
        if let Some(oldest) = same.next()
            && same.count() + 2 > MOST_CONNECTIONS
        {
            oldest.link.close();
        }
        self.inbound.push(Inbound { link, certificate });
    }

    /// Doubts all connections after a pause of this process.
    fn look_for_pause(&mut self) {
        if !self.pauses.has_paused(self.services.clock.now()) {
            return;
        }
        for slot in self.slots.values_mut() {
            if let Slot::Open(address, link) = slot {
                *slot = Slot::Unproven(*address, link.clone());
            }
        }
    }

    /// Tells everybody who has a connection here, in either direction.
    fn tell_all(&self, request: ControlRequest, patience: Duration) {
        let opened = self.slots.values().filter_map(|slot| match slot {
            Slot::Open(_, link) | Slot::Unproven(_, link) => Some(link),
            Slot::Opening(..) | Slot::Failed(_) => None,
        });
        let inbound = self.inbound.iter().map(|inbound| &inbound.link);
        for link in opened.chain(inbound).filter(|link| !link.is_closed()) {
            let (link, request) = (link.clone(), request.clone());
            tokio::spawn(async move { link.control(request, patience).await });
        }
    }

    fn get(
        &mut self,
        node: NodeName,
        address: SocketAddr,
        insistence: Insistence,
        reply: oneshot::Sender<Option<Link>>,
    ) {
        match self.slots.get_mut(&node) {
            Some(Slot::Open(at, link)) if *at == address && !link.is_closed() => {
                let _ = reply.send(Some(link.clone()));
            }
            // Concurrent calls to one peer wait for one handshake instead of making one each.
            Some(Slot::Opening(at, waiting)) if *at == address => {
                let insists = insistence == Insistence::ThisPeer;
                waiting.push(Waiting { reply, insists });
            }
            Some(Slot::Failed(failure))
                if insistence == Insistence::AnyPeer
                    && failure.is_fresh(address, self.services.clock.now()) =>
            {
                let _ = reply.send(None);
            }
            Some(Slot::Unproven(at, link)) if *at == address && !link.is_closed() => {
                let link = link.clone();
                self.open(node, address, Some(link), vec![Waiting::first(reply)]);
            }
            _ => self.open(node, address, None, vec![Waiting::first(reply)]),
        }
    }

    /// Opens a connection, unless the one from before still answers.
    fn open(
        &mut self,
        node: NodeName,
        address: SocketAddr,
        unproven: Option<Link>,
        waiting: Vec<Waiting>,
    ) {
        let failures = match self.slots.get(&node) {
            Some(Slot::Failed(failure)) if failure.address == address => failure.failures,
            _ => 0,
        };
        let slot = Slot::Opening(address, waiting);
        self.slots.insert(node.clone(), slot);
        let opening = open(
            self.endpoint.clone(),
            node.clone(),
            address,
            self.services.clone(),
        );
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let link = match prove(unproven).await {
                Some(link) => Some(link),
                None => opening.await,
            };
            let _ = tx.send(HubMessage::Opened(node, address, link, failures));
        });
    }

    fn opened(&mut self, node: NodeName, address: SocketAddr, link: Option<Link>, failures: u32) {
        let Some(Slot::Opening(at, _)) = self.slots.get(&node) else {
            return;
        };
        if *at != address {
            return;
        }
        let Some(Slot::Opening(_, waiting)) = self.slots.remove(&node) else {
            return;
        };
        // An attempt that began while the peer was cut off tells nothing of the moment after; those who joined it and have
        // nobody else to turn to get an attempt of their own.
        let failed = link.is_none();
        let (again, done): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|waiting| failed && waiting.insists);
        for waiting in done {
            let _ = waiting.reply.send(link.clone());
        }
        let slot = match link {
            Some(link) => Slot::Open(address, link),
            None => Slot::Failed(Failure::new(address, failures, self.services.clock.now())),
        };
        self.slots.insert(node.clone(), slot);
        if !again.is_empty() {
            let again = again
                .into_iter()
                .map(|waiting| Waiting::first(waiting.reply));
            self.open(node, address, None, again.collect());
        }
    }
}

impl Waiting {
    /// A call for which the attempt is made.
    fn first(reply: oneshot::Sender<Option<Link>>) -> Self {
        Self {
            reply,
            insists: false,
        }
    }
}

impl Failure {
    fn new(address: SocketAddr, failures: u32, now: Instant) -> Self {
        let pause = FIRST_PAUSE * 2u32.pow(failures.min(MOST_DOUBLINGS));
        Self {
            address,
            until: now + pause,
            failures: failures + 1,
        }
    }

    /// Whether it is too early to try again.
    ///
    /// Without the pause each call that picks a dead host would wait for a handshake of its own until routing has ejected it.
    fn is_fresh(&self, address: SocketAddr, now: Instant) -> bool {
        self.address == address && now < self.until
    }
}

impl HubHandle {
    /// The connection to a peer, opened if need be; `None` when it can't be reached or could not a moment ago.
    pub async fn link(&self, node: &NodeName, address: SocketAddr) -> Option<Link> {
        self.get(node, address, Insistence::AnyPeer).await
    }

    /// The same for a peer that nobody can stand in for: it is tried again even where it could not be reached a moment ago.
    pub async fn link_to_home(&self, node: &NodeName, address: SocketAddr) -> Option<Link> {
        self.get(node, address, Insistence::ThisPeer).await
    }

    async fn get(
        &self,
        node: &NodeName,
        address: SocketAddr,
        insistence: Insistence,
    ) -> Option<Link> {
        let (reply, link) = oneshot::channel();
        let message = HubMessage::Get(node.clone(), address, insistence, reply);
        self.tx.send(message).ok()?;
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
}

/// The connection, if its peer still answers on it; closed otherwise.
async fn prove(unproven: Option<Link>) -> Option<Link> {
    let link = unproven?;
    match link.control(ControlRequest::Ping, CONNECT_TIME).await {
        Ok(_) => Some(link),
        Err(_) => {
            link.close();
            None
        }
    }
}

async fn open(
    endpoint: Endpoint,
    node: NodeName,
    address: SocketAddr,
    services: PeerServices,
) -> Option<Link> {
    // The certificate must be that of the named node: an address that the platform's lagging list still gives to a replaced
    // node would otherwise reach another one under its name.
    let connecting = endpoint.connect(address, node.as_str()).ok()?;
    let connection = tokio::time::timeout(CONNECT_TIME, connecting)
        .await
        .ok()?
        .ok()?;
    let link = services.link(connection.clone(), Some(node.clone()));
    let own = services.host.report().await?;
    let hello = HelloFrame::new(&own, services.recorder.stamp());
    let greeting = link.control(ControlRequest::Greet(hello), CONNECT_TIME);
    let ControlReply::Hello(HelloFrame { report, .. }) = greeting.await.ok()? else {
        return None;
    };
    if report.node != node.0 {
        services.metrics.faults.rejected(Rejected::Name);
        return None;
    }
    services.routes.record_report(HostReport::from(report));
    tokio::spawn(serve_connection(connection, services));
    Some(link)
}

/// Connections that one certificate may have open to this node; a node that restarts needs two for a while.
const MOST_CONNECTIONS: usize = 4;

/// Time for the handshake and again for the greeting.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// Pause after a first failure to connect; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Doublings of the pause at most.
const MOST_DOUBLINGS: u32 = 3;
