//! The task that owns the connections to and from peers.

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
use crate::metrics::RejectedInput;
use crate::wire::{ControlReply, ControlRequest, HelloFrame};

/// Actor that owns the connections to and from peers. Connections are opened on first use.
pub struct Hub {
    endpoint: Endpoint,
    services: PeerServices,
    inbound: Vec<Inbound>,
    certificate_hasher: RandomState,
    slots: Map<NodeName, Slot>,
    pause_detector: PauseDetector,
    tx: mpsc::UnboundedSender<HubMessage>,
    rx: mpsc::UnboundedReceiver<HubMessage>,
}

/// Handle to the hub task; cheap to clone.
#[derive(Clone, Debug)]
pub struct HubHandle {
    tx: mpsc::UnboundedSender<HubMessage>,
}

/// Whether a request for a connection fails at once while the peer is in backoff after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackoffMode {
    /// Fail at once; the caller can use another peer.
    Respect,
    /// Try to connect all the same; no other peer can serve the request.
    Ignore,
}

#[derive(Debug)]
enum HubMessage {
    Get(
        NodeName,
        SocketAddr,
        BackoffMode,
        oneshot::Sender<Option<Link>>,
    ),
    Opened(NodeName, SocketAddr, Option<Link>, u32),
    Accepted(Link),
    Broadcast(ControlRequest, Duration),
}

/// A connection that a peer opened.
#[derive(Debug)]
struct Inbound {
    link: Link,
    /// Hash of the certificate that the peer presented.
    certificate: u64,
}

/// State of the connection to one node.
#[derive(Debug)]
enum Slot {
    Opening(SocketAddr, Vec<Waiter>),
    Open(SocketAddr, Link),
    /// Opened before this process was paused; the peer may have closed it since.
    Unverified(SocketAddr, Link),
    Failed(ConnectFailure),
}

/// A caller that waits for a connection.
#[derive(Debug)]
struct Waiter {
    reply: oneshot::Sender<Option<Link>>,
    /// Whether to start a new attempt if this one, which began before the caller joined it, fails.
    retry_on_failure: bool,
}

/// The last failed attempt to connect to a peer.
#[derive(Clone, Copy, Debug)]
struct ConnectFailure {
    address: SocketAddr,
    retry_at: Instant,
    failures: u32,
}

impl Hub {
    /// Creates the task and its handle. `services` serves the streams that peers open on the connections. `idle_timeout` is
    /// the time without a packet after which the transport closes a connection.
    pub fn new(
        endpoint: Endpoint,
        services: PeerServices,
        idle_timeout: Duration,
    ) -> (Self, HubHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = HubHandle { tx: tx.clone() };
        let slots = Map::default();
        let inbound = Vec::new();
        let pause_detector = PauseDetector::new(idle_timeout / 2, services.clock.now());
        (
            Self {
                endpoint,
                services,
                inbound,
                certificate_hasher: RandomState::new(),
                slots,
                pause_detector,
                tx,
                rx,
            },
            handle,
        )
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut pause_checks = interval(self.pause_detector.threshold / 2);
        pause_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                message = self.rx.recv() => message,
                _ = pause_checks.tick() => {
                    self.check_for_pause();
                    continue;
                }
            };
            let Some(message) = message else {
                return;
            };
            self.check_for_pause();
            match message {
                HubMessage::Get(node, address, backoff, reply) => {
                    self.get(node, address, backoff, reply);
                }
                HubMessage::Opened(node, address, link, failures) => {
                    self.finish_opening(node, address, link, failures);
                }
                HubMessage::Accepted(link) => self.register_inbound(link),
                HubMessage::Broadcast(request, timeout) => self.broadcast(request, timeout),
            }
        }
    }

    /// Registers a connection that a peer opened, and closes the peer's oldest one if it has too many.
    ///
    /// All peers share the permits for streams. A peer that keeps opening connections would take all of them, and calls from
    /// other nodes would expire unserved.
    fn register_inbound(&mut self, link: Link) {
        self.inbound.retain(|inbound| !inbound.link.is_closed());
        let certificate = self.certificate_hasher.hash_one(link.identity());
        let mut same = self
            .inbound
            .iter()
            .filter(|inbound| inbound.certificate == certificate);
        if let Some(oldest) = same.next()
            && same.count() + 2 > MAX_INBOUND_PER_CERTIFICATE
        {
            oldest.link.close();
        }
        self.inbound.push(Inbound { link, certificate });
    }

    /// Marks all open connections as unverified if this process was paused.
    fn check_for_pause(&mut self) {
        if !self.pause_detector.has_paused(self.services.clock.now()) {
            return;
        }
        for slot in self.slots.values_mut() {
            if let Slot::Open(address, link) = slot {
                *slot = Slot::Unverified(*address, link.clone());
            }
        }
    }

    /// Sends a request on every open connection, in either direction, without waiting for replies.
    fn broadcast(&self, request: ControlRequest, timeout: Duration) {
        let opened = self.slots.values().filter_map(|slot| match slot {
            Slot::Open(_, link) | Slot::Unverified(_, link) => Some(link),
            Slot::Opening(..) | Slot::Failed(_) => None,
        });
        let inbound = self.inbound.iter().map(|inbound| &inbound.link);
        for link in opened.chain(inbound).filter(|link| !link.is_closed()) {
            let (link, request) = (link.clone(), request.clone());
            tokio::spawn(async move { link.control(request, timeout).await });
        }
    }

    /// Replies with an open connection, joins an attempt in progress, fails during backoff, or starts an attempt.
    fn get(
        &mut self,
        node: NodeName,
        address: SocketAddr,
        backoff: BackoffMode,
        reply: oneshot::Sender<Option<Link>>,
    ) {
        match self.slots.get_mut(&node) {
            Some(Slot::Open(at, link)) if *at == address && !link.is_closed() => {
                let _ = reply.send(Some(link.clone()));
            }
            // Concurrent calls to one peer share a single handshake.
            Some(Slot::Opening(at, waiting)) if *at == address => {
                let retry_on_failure = backoff == BackoffMode::Ignore;
                waiting.push(Waiter {
                    reply,
                    retry_on_failure,
                });
            }
            Some(Slot::Failed(failure))
                if backoff == BackoffMode::Respect
                    && failure.is_in_backoff(address, self.services.clock.now()) =>
            {
                let _ = reply.send(None);
            }
            Some(Slot::Unverified(at, link)) if *at == address && !link.is_closed() => {
                let link = link.clone();
                self.open(node, address, Some(link), vec![Waiter::first(reply)]);
            }
            _ => self.open(node, address, None, vec![Waiter::first(reply)]),
        }
    }

    /// Starts an attempt to connect. If `unverified` is given and its peer still answers, that connection is kept instead.
    fn open(
        &mut self,
        node: NodeName,
        address: SocketAddr,
        unverified: Option<Link>,
        waiting: Vec<Waiter>,
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
            let link = match verify(unverified).await {
                Some(link) => Some(link),
                None => opening.await,
            };
            let _ = tx.send(HubMessage::Opened(node, address, link, failures));
        });
    }

    /// Replies to the waiting callers with the result of an attempt to connect.
    fn finish_opening(
        &mut self,
        node: NodeName,
        address: SocketAddr,
        link: Option<Link>,
        failures: u32,
    ) {
        let Some(Slot::Opening(at, _)) = self.slots.get(&node) else {
            return;
        };
        if *at != address {
            return;
        }
        let Some(Slot::Opening(_, waiting)) = self.slots.remove(&node) else {
            return;
        };
        // An attempt that began while the peer was partitioned can fail although the peer is reachable again. Callers that
        // joined it and cannot use another peer get a new attempt.
        let failed = link.is_none();
        let (retrying, done): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|waiter| failed && waiter.retry_on_failure);
        for waiter in done {
            let _ = waiter.reply.send(link.clone());
        }
        let slot = match link {
            Some(link) => Slot::Open(address, link),
            None => Slot::Failed(ConnectFailure::new(
                address,
                failures,
                self.services.clock.now(),
            )),
        };
        self.slots.insert(node.clone(), slot);
        if !retrying.is_empty() {
            let waiting = retrying
                .into_iter()
                .map(|waiter| Waiter::first(waiter.reply));
            self.open(node, address, None, waiting.collect());
        }
    }
}

impl Waiter {
    /// Creates the waiter for which an attempt is started.
    fn first(reply: oneshot::Sender<Option<Link>>) -> Self {
        Self {
            reply,
            retry_on_failure: false,
        }
    }
}

impl ConnectFailure {
    fn new(address: SocketAddr, failures: u32, now: Instant) -> Self {
        let backoff = INITIAL_BACKOFF * 2u32.pow(failures.min(MAX_BACKOFF_DOUBLINGS));
        Self {
            address,
            retry_at: now + backoff,
            failures: failures + 1,
        }
    }

    /// Returns whether it is too early for another attempt.
    ///
    /// Without the backoff each call routed to a dead host would wait for its own handshake until routing ejects the host.
    fn is_in_backoff(&self, address: SocketAddr, now: Instant) -> bool {
        self.address == address && now < self.retry_at
    }
}

impl HubHandle {
    /// Returns the connection to a peer, opening it if necessary, or `None` if the peer is unreachable or in backoff.
    pub async fn link(&self, node: &NodeName, address: SocketAddr) -> Option<Link> {
        self.get(node, address, BackoffMode::Respect).await
    }

    /// Like [`link`](Self::link), but ignores the backoff. For the home of a token, which no other peer can replace.
    pub async fn link_to_home(&self, node: &NodeName, address: SocketAddr) -> Option<Link> {
        self.get(node, address, BackoffMode::Ignore).await
    }

    async fn get(
        &self,
        node: &NodeName,
        address: SocketAddr,
        backoff: BackoffMode,
    ) -> Option<Link> {
        let (reply, link) = oneshot::channel();
        let message = HubMessage::Get(node.clone(), address, backoff, reply);
        self.tx.send(message).ok()?;
        link.await.ok().flatten()
    }

    /// Registers a connection that a peer opened.
    pub fn accepted(&self, link: Link) {
        let _ = self.tx.send(HubMessage::Accepted(link));
    }

    /// Sends a request on every open connection, in either direction, without waiting for replies.
    pub fn broadcast(&self, request: ControlRequest, timeout: Duration) {
        let _ = self.tx.send(HubMessage::Broadcast(request, timeout));
    }
}

/// Returns the connection if its peer still answers a ping, and closes it otherwise.
async fn verify(unverified: Option<Link>) -> Option<Link> {
    let link = unverified?;
    match link.control(ControlRequest::Ping, CONNECT_TIMEOUT).await {
        Ok(_) => Some(link),
        Err(_) => {
            link.close();
            None
        }
    }
}

/// Connects to a node, exchanges greetings and starts serving the streams that the node opens.
async fn open(
    endpoint: Endpoint,
    node: NodeName,
    address: SocketAddr,
    services: PeerServices,
) -> Option<Link> {
    // The certificate must match the node's name. Otherwise an address that the lagging instance list still assigns to a
    // replaced node could lead to a different node.
    let connecting = endpoint.connect(address, node.as_str()).ok()?;
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()?;
    let link = services.link(connection.clone(), Some(node.clone()));
    let own = services.host.report().await?;
    let hello = HelloFrame::new(&own, services.recorder.stamp());
    let greeting = link.control(ControlRequest::Greet(hello), CONNECT_TIMEOUT);
    let ControlReply::Hello(HelloFrame { report, .. }) = greeting.await.ok()? else {
        return None;
    };
    if report.node != node.0 {
        services.metrics.faults.record_rejected(RejectedInput::Name);
        return None;
    }
    services.routes.record_report(HostReport::from(report));
    tokio::spawn(serve_connection(connection, services));
    Some(link)
}

/// Maximum number of inbound connections per certificate. A node that restarts needs two for a while.
const MAX_INBOUND_PER_CERTIFICATE: usize = 4;

/// Timeout of the handshake, of the greeting after it, and of the ping that verifies a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Backoff after the first failed attempt to connect; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum number of times the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
