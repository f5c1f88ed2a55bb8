//! Messages to the routes task.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_core::class::Class;
use coltsfootport_core::id::{NodeName, ServiceName};
use coltsfootport_core::once::Token;
use coltsfootport_core::routing::{PeerKey, RouteResult};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::AttemptGuard;
use crate::data::HostReport;

/// Properties of a call by which a host is chosen for it.
#[derive(Clone, Debug)]
pub struct PickRequest {
    /// Service that is called.
    pub service: ServiceName,
    /// Operation of the service.
    pub operation: SmolStr,
    /// Class of the call.
    pub class: Class,
    /// Bucket of the request within its class, by which load is shed within the class.
    pub bucket: u8,
    /// Hosts that are not chosen, since they were tried before.
    pub excluded: Vec<PeerKey>,
}

/// Host chosen for one attempt.
#[derive(Debug)]
pub struct Route {
    /// Name of the host's node.
    pub node: NodeName,
    /// Address at which the node accepts connections of peers.
    pub address: SocketAddr,
    /// Reports the end of the attempt to the routes task.
    pub guard: AttemptGuard,
}

/// Response to a [`PickRequest`].
#[derive(Debug)]
pub enum Choice {
    /// Send the call to this host.
    Send(Box<Route>),
    /// The call would be shed downstream; the caller may retry after this time.
    Shed(Duration),
    /// No eligible host is left.
    NoHost,
}

/// End of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Key of the host.
    pub peer: PeerKey,
    /// Service of the call.
    pub service: ServiceName,
    /// Operation of the call.
    pub operation: SmolStr,
    /// Result as used for routing.
    pub result: RouteResult,
    /// Report of the host, if it replied.
    pub report: Option<HostReport>,
}

/// State of a peer, as shown by `status`.
#[derive(Clone, Debug)]
pub struct PeerLoad {
    /// Name of the peer.
    pub node: NodeName,
    /// Service of the peer's target.
    pub service: ServiceName,
    /// Whether the peer is leaving the fleet.
    pub leaving: bool,
    /// Number of attempts that this node has in flight there.
    pub in_flight: u32,
    /// Whether the peer is excluded from routing because of failures.
    pub ejected: bool,
}

/// Message to the routes task.
#[derive(Debug)]
pub enum RoutesMessage {
    /// Choose a host for an attempt.
    Pick(PickRequest, oneshot::Sender<Choice>),
    /// Return the home that a token names.
    Home(Token, oneshot::Sender<Option<Route>>),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A host reported its state outside of an attempt.
    HostReport(HostReport),
    /// Mint a token for a home that has sent a report before.
    Mint(NodeName, ServiceName, oneshot::Sender<Option<Token>>),
    /// Take one retry from the budget of a service.
    SpendRetry(ServiceName, oneshot::Sender<bool>),
    /// Return the state of all peers, for `status`.
    Peers(oneshot::Sender<Vec<PeerLoad>>),
}
