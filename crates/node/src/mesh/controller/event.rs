//! Events handled by the controller, and the types of their requests and replies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    Announcement, InstanceKey, MeshConfig, ReadersConfig, ReadersView, Refusal, RequestKind,
    RouteKey, SelectedInstance, SendOutcome, Ticket, UpdateBatch,
};
use coltsfootport_core::quarantine::{Finding, Fingerprint, SuspicionLevel};
use coltsfootport_core::workspace::{QuotaNotice, QuotaUsage, RoutedClaim, Verdict};
use http::HeaderValue;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::{ControllerConfig, SendGuard, SlotGuard};
use crate::mesh::call::{AttemptToken, Report, RunEnd};

/// An event for the controller. Events that need a reply carry the channel for it.
#[derive(Debug)]
pub enum ControllerEvent {
    /// A caller's request asks for admission.
    Admit(
        AdmissionRequest,
        oneshot::Sender<Result<AdmittedRequest, Denial>>,
    ),
    /// An admitted request needs an instance to be sent to.
    SelectInstance(
        InstanceRequest,
        oneshot::Sender<Result<InstanceGrant, Refusal>>,
    ),
    /// An attempt to send a request to an instance has completed.
    SendCompleted(InstanceKey, CompletedSend),
    /// A failed request asks whether it may be retried.
    Retry(RetryRequest, oneshot::Sender<bool>),
    /// A request forwarded by an entry node needs a slot at the local target.
    AcquireSlot(
        AcquireSlotRequest,
        oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
    ),
    /// An entry node takes back a request that may wait here; replies whether it waited or runs here.
    Withdraw(AttemptToken, oneshot::Sender<bool>),
    /// A slot of the local target was released; the optional reply carries the outcome of the run.
    SlotReleased(Ticket, SlotRelease, Option<oneshot::Sender<RunOutcome>>),
    /// A long answer has ended.
    AnswerEnded(AnswerEnd),
    /// Incremental updates from the publisher, in order.
    PublisherUpdates(UpdateBatch),
    /// A full listing: everything published at one point in time.
    PublisherSnapshot(UpdateBatch),
    /// The publisher answered without new updates.
    PublisherAnswered,
    /// The publisher did not answer, or its response was invalid.
    PublisherFailed,
    /// The node begins to shut down: its target receives no new work.
    Stop {
        /// Time until the supervisor kills the process.
        grace: Duration,
    },
    /// The settings were reloaded.
    SettingsChanged(Box<ControllerConfig>),
    /// Asks for the result of the readiness check.
    Readiness(oneshot::Sender<bool>),
    /// Asks which nodes read from the publisher directly.
    ReadersView(ReadersConfig, oneshot::Sender<ReadersView>),
    /// A request that was counted towards the quota of this workspace did not run.
    QuotaUnused(SmolStr),
    /// Quota homes have announced their verdicts.
    QuotaNoticesReceived(Vec<QuotaNotice>),
    /// The share of the peers in use by this node that are silent.
    SilentPeerShare(f64),
    /// Quota homes have accepted claims and returned their verdicts.
    QuotaClaimsConfirmed(Vec<(RoutedClaim, Verdict)>),
    /// A quota home has not acknowledged these claims.
    QuotaClaimsUndelivered(Vec<RoutedClaim>),
    /// Another node reports its quota usage to this node, which is the home of those quotas.
    QuotaClaimsReceived(Vec<QuotaUsage>, oneshot::Sender<Vec<Verdict>>),
    /// Another node has sent its findings about requests that crash targets.
    FindingsReceived(Vec<Finding>),
    /// Another node, whose findings have this digest, asks for the findings of this node.
    FindingsRequested(u64, oneshot::Sender<Vec<Finding>>),
    /// The grace period is nearly over: log all unfinished requests.
    LogUnfinished,
    /// The local target, which did not respond, reads from its connections again.
    TargetReads,
    /// Asks for the number of requests from other nodes that wait or run here.
    HostedRequests(oneshot::Sender<usize>),
    /// Asks for the status report of this host.
    Report(oneshot::Sender<Report>),
}

/// What a long answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerOf {
    /// A run at the local target.
    Run(Ticket),
    /// A request of a caller on the route with this name.
    Route(SmolStr),
}

/// The end of a long answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// What the answer belongs to.
    pub of: AnswerOf,
    /// Time from the request to the end of the answer; `None` if the answer is incomplete.
    pub took: Option<Duration>,
    /// The request, if its complete answer shows that the target is unharmed by it.
    pub cleared: Option<Fingerprint>,
}

/// How long a slot was held, and how the run in it ended.
#[derive(Clone, Copy, Debug)]
pub struct SlotRelease {
    /// How long the slot was held.
    pub held: Duration,
    /// Time since the request was sent, unless it was not sent completely.
    pub waited: Option<Duration>,
    /// How the run ended.
    pub end: RunEnd,
    /// What the target announced in its response, if there was one.
    pub announcement: Option<Announcement>,
    /// Whether the target is still sending its answer. The run goes on until [`ControllerEvent::AnswerEnded`].
    pub answering: bool,
}

/// The outcome of a run, as the controller sees it after the slot was released.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Report that the host sends to the entry node.
    pub report: Report,
    /// Suspicion level of the request after this run.
    pub standing: SuspicionLevel,
}

/// The properties of a request that its admission depends on.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Value of the host header.
    pub host: SmolStr,
    /// Path without the query.
    pub path: SmolStr,
    /// Request id.
    pub id: SmolStr,
    /// Remaining time until the caller gives up, if the caller sent it.
    pub time_left: Option<Duration>,
    /// Credential that identifies the workspace.
    pub credential: Credential,
}

/// The credential by which a request identifies its workspace.
#[derive(Clone, Debug)]
pub enum Credential {
    /// No key. Calls made by runs carry none.
    Missing,
    /// An API key, marked as sensitive so that it is not printed.
    Key(HeaderValue),
    /// More than one key.
    Duplicate,
}

/// The run on the local target that made a call.
#[derive(Clone, Debug, PartialEq)]
pub struct ParentRun {
    /// Id of the request that runs on the local target.
    pub id: SmolStr,
    /// Rank of the originating external request.
    pub rank: u8,
    /// Workspace of the originating request.
    pub workspace: Option<SmolStr>,
    /// Share of the requests like the originating one that its entry node admitted.
    pub admitted_share: f64,
    /// When the originating request entered the mesh.
    pub began: Instant,
    /// Deadline of the parent run.
    pub deadline: Instant,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The configuration in force at admission. The request is handled by it to the end.
    pub config: Arc<MeshConfig>,
    /// The matched route.
    pub route: RouteKey,
    /// The service that runs the request.
    pub service: ServiceName,
    /// Rank of the originating external request.
    pub rank: u8,
    /// Workspace of the originating request; `None` on public routes and where no workspaces are configured.
    pub workspace: Option<SmolStr>,
    /// The key that identified the workspace; `None` if none was required, and for calls made by runs.
    pub key: Option<HeaderValue>,
    /// Share of the external requests like the originating one that were admitted.
    pub admitted_share: f64,
    /// The run that made the call; `None` for an external request.
    pub parent: Option<ParentRun>,
}

/// A request that is refused at admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Reason of the refusal.
    pub refusal: Refusal,
    /// When the caller should retry.
    pub retry_after: Option<Duration>,
    /// Version of the configuration that the decision was based on; 0 if there was none.
    pub config_version: u64,
}

/// A request to select an instance.
#[derive(Clone, Debug)]
pub struct InstanceRequest {
    /// Target service.
    pub service: ServiceName,
    /// Name of the matched route.
    pub route: SmolStr,
    /// Identifies the route in reports and frames.
    pub kind: RequestKind,
    /// Fingerprint of the request, the same for all its retries.
    pub fingerprint: Fingerprint,
    /// Id of the run that made the call.
    pub parent: Option<SmolStr>,
    /// Instances that the request was already sent to.
    pub tried: Vec<InstanceKey>,
    /// Deadline of the request.
    pub deadline: Instant,
    /// The key by which the request was admitted; `None` if none was required.
    pub key: Option<HeaderValue>,
}

/// The instance selected for a request.
#[derive(Debug)]
pub struct InstanceGrant {
    /// The instance.
    pub chosen: SelectedInstance,
    /// Whether it is the target of this node.
    pub is_local: bool,
    /// Id of the local instance, if this node is cut off from the publisher.
    pub cut_off: Option<SmolStr>,
    /// Reports to the controller how the send ended.
    pub guard: SendGuard,
}

/// The result of sending a request to an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedSend {
    /// Whether it was the first attempt to send the request.
    pub first_attempt: bool,
    /// Outcome as it affects the instance. The controller fills in the relative response time.
    pub outcome: SendOutcome,
    /// Time from the send to the response.
    pub took: Duration,
    /// Target service.
    pub service: ServiceName,
    /// Name of the matched route.
    pub route: SmolStr,
    /// Identifies the route in reports and frames.
    pub kind: RequestKind,
    /// Fingerprint of the request, the same for all its retries.
    pub fingerprint: Fingerprint,
    /// Whether the target's response arrived completely.
    pub answer_complete: bool,
    /// Whether the target announced in its response that it is leaving.
    pub target_leaving: bool,
    /// Id of the run that made the call.
    pub parent: Option<SmolStr>,
    /// The host's report, if one arrived.
    pub report: Option<Report>,
}

/// A request to retry after a failure.
#[derive(Clone, Debug)]
pub struct RetryRequest {
    /// Target service.
    pub service: ServiceName,
    /// Name of the matched route.
    pub route: SmolStr,
    /// Whether it is a call made by a run.
    pub inner: bool,
    /// Rank of the originating external request.
    pub rank: u8,
}

/// A request from an entry node for a slot at the local target.
#[derive(Clone, Debug)]
pub struct AcquireSlotRequest {
    /// Id of the only instance that may run the request.
    pub instance: SmolStr,
    /// Request id.
    pub id: SmolStr,
    /// Fingerprint of the request, the same for all its retries.
    pub fingerprint: Fingerprint,
    /// Identifies the attempt of the entry node.
    pub attempt: AttemptToken,
    /// Rank of the originating external request.
    pub rank: u8,
    /// Workspace of the originating request.
    pub workspace: Option<SmolStr>,
    /// Share of the external requests like the originating one that its entry node admitted.
    pub admitted_share: f64,
    /// Identifies the route in reports and frames.
    pub kind: RequestKind,
    /// Whether it is a call made by a run.
    pub inner: bool,
    /// When the originating request entered the mesh.
    pub began: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Longest expected queueing time at which the request is still enqueued. Zero if it may not wait.
    pub queue_timeout: Duration,
    /// Id of the local instance of the sending node, if that node is cut off from the publisher.
    pub cut_off: Option<SmolStr>,
}

impl AcquireSlotRequest {
    /// Whether the request may be enqueued, instead of being refused if it can't start at once.
    pub fn may_wait(&self) -> bool {
        !self.queue_timeout.is_zero()
    }
}

/// A granted slot.
#[derive(Debug)]
pub struct SlotGrant {
    /// Releases the slot.
    pub guard: SlotGuard,
    /// Whether the request must go out on a new connection.
    pub new_connection: bool,
}

/// The refusal of a slot.
#[derive(Clone, Debug)]
pub struct SlotRefusal {
    /// Reason of the refusal.
    pub refusal: Refusal,
    /// When the caller should retry.
    pub retry_after: Option<Duration>,
    /// Status report of the host.
    pub report: Report,
}
