//! Messages to the controller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    InstanceKey, MeshConfig, ReadersConfig, ReadersView, Refusal, RequestKind, RouteKey,
    SelectedInstance, SendOutcome, Ticket, UpdateBatch,
};
use coltsfootport_core::quarantine::{Finding, Fingerprint, Standing};
use coltsfootport_core::workspace::{QuotaNotice, QuotaUsage, RoutedClaim, Verdict};
use http::HeaderValue;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::{ControllerConfig, SendGuard, SlotGuard};
use crate::mesh::call::{Report, RunEnd};

/// Everything that the controller hears.
#[derive(Debug)]
pub enum ControllerEvent {
    /// A request has come from a caller.
    Admit(AdmitAsk, oneshot::Sender<Result<Admitted, Denied>>),
    /// An admitted request wants an instance.
    Send(SendAsk, oneshot::Sender<Result<SendTo, Refusal>>),
    /// A sending has ended.
    SendEnded(InstanceKey, EndedSend),
    /// A request that failed wants to be sent again.
    Retry(RetryAsk, oneshot::Sender<bool>),
    /// A request from an entry wants a slot at the target.
    Enter(EnterAsk, oneshot::Sender<Result<Granted, NotGranted>>),
    /// A request has left its slot; the reply tells what came of its run.
    Left(Ticket, LeftSlot, Option<oneshot::Sender<AfterRun>>),
    /// News of the publisher: one change after the other.
    News(UpdateBatch),
    /// Everything published, as listed at one time.
    Listed(UpdateBatch),
    /// The publisher has answered, with nothing new.
    PublisherAnswered,
    /// The publisher does not answer, or not as it should.
    PublisherFailed,
    /// The node is about to stop: its target gets nothing new.
    Stop,
    /// The settings have changed.
    Configured(Box<ControllerConfig>),
    /// Whether the node has a configuration, for the readiness check.
    IsReady(oneshot::Sender<bool>),
    /// Who reads the publisher, for the news.
    ReadersView(ReadersConfig, oneshot::Sender<ReadersView>),
    /// A request that counted towards the quota of a workspace has not run.
    QuotaUnused(SmolStr),
    /// Homes have told their verdicts.
    QuotaHeard(Vec<QuotaNotice>),
    /// This share of the nodes that this one uses is silent.
    PeersSilent(f64),
    /// Homes have taken in claims and told their verdicts.
    QuotaConfirmed(Vec<(RoutedClaim, Verdict)>),
    /// A home has not answered these claims.
    QuotaUntold(Vec<RoutedClaim>),
    /// Another node tells this one, a home, what it has used.
    QuotaClaimed(Vec<QuotaUsage>, oneshot::Sender<Vec<Verdict>>),
    /// Another node tells what it knows of requests that crash targets.
    FindingsHeard(Vec<Finding>),
    /// Another node with this digest wants to know what this one knows.
    FindingsPulled(u64, oneshot::Sender<Vec<Finding>>),
    /// The grace period is nearly over: what is still here is logged.
    LogUnfinished,
    /// Number of requests of others that wait or run here.
    Hosted(oneshot::Sender<usize>),
}

/// How a request has left its slot.
#[derive(Clone, Copy, Debug)]
pub struct LeftSlot {
    /// How long it had the slot.
    pub held: Duration,
    /// How its run has ended.
    pub end: RunEnd,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct AfterRun {
    /// What the host tells the entry.
    pub report: Report,
    /// How far the request is suspected now of crashing targets.
    pub standing: Standing,
}

/// A request as far as its admission is concerned.
#[derive(Clone, Debug)]
pub struct AdmitAsk {
    /// Its host header.
    pub host: SmolStr,
    /// Its path, without the query.
    pub path: SmolStr,
    /// Its id.
    pub id: SmolStr,
    /// How long its caller waits, where it said so.
    pub time_left: Option<Duration>,
    /// What it bears to show its workspace.
    pub credential: Credential,
}

/// What a request bears to show its workspace.
#[derive(Clone, Debug)]
pub enum Credential {
    /// Nothing, as calls of runs.
    Missing,
    /// A key, marked so that it prints as nothing.
    Key(HeaderValue),
    /// More than one key.
    Doubled,
}

/// The run which a request serves.
#[derive(Clone, Debug, PartialEq)]
pub struct OuterRun {
    /// Id of the request that runs at the own target.
    pub id: SmolStr,
    /// Urgency of the request from outside that all of it serves.
    pub rank: u8,
    /// Workspace of that request.
    pub workspace: Option<SmolStr>,
    /// Share of the requests like that one which its entry admitted.
    pub admitted: f64,
    /// When that request entered the mesh.
    pub began: Instant,
    /// When the outer run's time is over.
    pub deadline: Instant,
}

/// A request that may go on.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The configuration in force when it came, by which all of it is handled.
    pub config: Arc<MeshConfig>,
    /// Its route.
    pub route: RouteKey,
    /// The service that runs it.
    pub service: ServiceName,
    /// Urgency of the request from outside that it serves.
    pub rank: u8,
    /// Workspace of that request; `None` where there are none, and on public routes.
    pub workspace: Option<SmolStr>,
    /// The key that showed its workspace; `None` where none was needed, and for calls of runs.
    pub key: Option<HeaderValue>,
    /// Share of the requests from outside like that which it serves that were admitted.
    pub share: f64,
    /// The run that it serves; `None` for a request from outside.
    pub outer: Option<OuterRun>,
}

/// A request that is answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Why.
    pub refusal: Refusal,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Version of the configuration by which it was judged; 0 where there is none.
    pub config: u64,
}

/// A request that wants an instance.
#[derive(Clone, Debug)]
pub struct SendAsk {
    /// The service.
    pub service: ServiceName,
    /// Name of its route.
    pub route: SmolStr,
    /// What stays the same when it is sent again.
    pub fingerprint: Fingerprint,
    /// The run that it serves.
    pub outer: Option<SmolStr>,
    /// Instances that have had it.
    pub tried: Vec<InstanceKey>,
    /// The key by which it was admitted; `None` where none was needed.
    pub key: Option<HeaderValue>,
}

/// Where a request goes.
#[derive(Debug)]
pub struct SendTo {
    /// The instance.
    pub chosen: SelectedInstance,
    /// Whether it is the target beside this node.
    pub own: bool,
    /// The own instance, where this node is cut off from the publisher.
    pub cut_off: Option<SmolStr>,
    /// Tells the controller how it ended.
    pub guard: SendGuard,
}

/// How a sending ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedSend {
    /// What it says about the instance; the relative time is filled in by the controller.
    pub outcome: SendOutcome,
    /// Time from sending to the answer.
    pub took: Duration,
    /// The service.
    pub service: ServiceName,
    /// Name of the route.
    pub route: SmolStr,
    /// What stays the same of the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Whether the whole answer of the target has come.
    pub answered_whole: bool,
    /// The run that it serves.
    pub outer: Option<SmolStr>,
    /// The host's report, where one came.
    pub report: Option<Report>,
}

/// A request that wants to be sent again.
#[derive(Clone, Debug)]
pub struct RetryAsk {
    /// The service.
    pub service: ServiceName,
    /// Name of its route.
    pub route: SmolStr,
    /// Whether the target may have begun to work on it, so that its calls below may be repeated.
    pub may_have_run: bool,
    /// Whether it serves a run.
    pub inner: bool,
    /// Urgency of the request from outside that it serves.
    pub rank: u8,
}

/// A request from an entry that wants a slot.
#[derive(Clone, Debug)]
pub struct EnterAsk {
    /// The only instance that may run it.
    pub instance: SmolStr,
    /// Its id.
    pub id: SmolStr,
    /// What stays the same when it is sent again.
    pub fingerprint: Fingerprint,
    /// Urgency of the request from outside.
    pub rank: u8,
    /// Workspace of that request.
    pub workspace: Option<SmolStr>,
    /// Share of the requests from outside like that which it serves that its entry admitted.
    pub admitted: f64,
    /// Its route.
    pub kind: RequestKind,
    /// Whether a run waits for it.
    pub inner: bool,
    /// When the request from outside that it serves entered the mesh.
    pub began: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Longest wait to be expected at which it still enters.
    pub queue_timeout: Duration,
    /// The instance beside the sending node, where that node is cut off from the publisher.
    pub cut_off: Option<SmolStr>,
}

/// A slot.
#[derive(Debug)]
pub struct Granted {
    /// Gives the slot back.
    pub guard: SlotGuard,
}

/// No slot.
#[derive(Clone, Debug)]
pub struct NotGranted {
    /// Why.
    pub refusal: Refusal,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// What the host tells besides.
    pub report: Report,
}
