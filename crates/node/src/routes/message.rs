//! What is said to the routes task.

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

/// What the choice of a host depends on.
#[derive(Clone, Debug)]
pub struct PickRequest {
    /// Service to run the call.
    pub service: ServiceName,
    /// Operation of the service.
    pub operation: SmolStr,
    /// Class of the call.
    pub class: Class,
    /// Position of the request among those of its class.
    pub bucket: u8,
    /// Hosts that were tried already.
    pub excluded: Vec<PeerKey>,
}

/// A host for one attempt.
#[derive(Debug)]
pub struct Route {
    /// Name of its node.
    pub node: NodeName,
    /// Its peers' address.
    pub address: SocketAddr,
    /// Accounts for the attempt until its end is told.
    pub guard: AttemptGuard,
}

/// The answer to a [`PickRequest`].
#[derive(Debug)]
pub enum Choice {
    /// Send it there.
    Send(Box<Route>),
    /// It would be shed further down; come back after this time.
    Shed(Duration),
    /// No host is left to try.
    NoHost,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The host.
    pub peer: PeerKey,
    /// Service of the call.
    pub service: ServiceName,
    /// Operation of the call.
    pub operation: SmolStr,
    /// What came of it.
    pub result: RouteResult,
    /// State of the host, where it answered.
    pub report: Option<HostReport>,
}

/// State of a peer for `status`.
#[derive(Clone, Debug)]
pub struct PeerLoad {
    /// Name of its node.
    pub node: NodeName,
    /// Service of its target.
    pub service: ServiceName,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Attempts of this node there.
    pub in_flight: u32,
    /// Whether it is left out for its failures.
    pub ejected: bool,
}

/// Everything that is said to the routes task.
#[derive(Debug)]
pub enum RoutesMessage {
    /// Chooses a host.
    Pick(PickRequest, oneshot::Sender<Choice>),
    /// The host that a token names.
    Home(Token, oneshot::Sender<Option<Route>>),
    /// The end of an attempt.
    AttemptEnded(AttemptEnd),
    /// A host told its state outside of an attempt.
    HostReport(HostReport),
    /// A token of a home that was heard before.
    Mint(NodeName, ServiceName, oneshot::Sender<Option<Token>>),
    /// One retry out of the budget of a service.
    SpendRetry(ServiceName, oneshot::Sender<bool>),
    /// State of all peers for `status`.
    Peers(oneshot::Sender<Vec<PeerLoad>>),
}
