//! Messages to the gate and their replies.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::admission::Level;
use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::RequestId;
use coltsfootport_core::lifecycle::Phase;
use coltsfootport_core::once::{Refusal, Token, Try};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::{ContextHandle, DownstreamPermit, InFlightGuard, InFlightKey};
use crate::data::{Answer, Call, HostReport, OnceCall, Refused};

/// A call that requests admission at this node.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Request that the call belongs to.
    pub request: RequestId,
    /// Priority class.
    pub class: Class,
    /// Name of the priority class.
    pub class_name: SmolStr,
    /// Operation that is called.
    pub operation: SmolStr,
    /// Bucket of the request within its class; higher buckets are shed first.
    pub bucket: u8,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Instant,
    /// Number of hops between the entry and this call.
    pub depth: u8,
    /// Number of the attempt, as counted by its entry.
    pub sending: u16,
    /// Retries granted to the call and its downstream calls.
    pub allowance: u16,
    /// Token and try number, if the call runs at most once.
    pub once: Option<OnceCall>,
}

/// The gate's reply to an [`AdmissionRequest`].
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The call may be sent to the target after a final check with [`GateMessage::Dispatch`].
    Admitted(InFlightGuard),
    /// An earlier try of the token has run; contains its stored answer.
    Replayed(Arc<Answer>),
    /// The call is not run.
    Refused(Refused),
}

/// How a call in flight ended.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The target answered.
    Answered(Arc<Answer>),
    /// The call was dispatched, but no complete answer was received.
    Lost(ErrorKind),
    /// The call was not dispatched.
    Withdrawn(ErrorKind),
}

/// The gate's reply to [`GateMessage::Finish`].
#[derive(Clone, Debug)]
pub struct CompletionReply {
    /// Retry allowance that the call and its downstream calls did not use.
    pub allowance_left: u16,
    /// State of the host.
    pub report: HostReport,
}

/// The call in flight that a downstream call belongs to.
#[derive(Clone, Debug)]
pub struct Parent {
    /// Key of the call in flight.
    pub key: InFlightKey,
    /// Request that the call belongs to.
    pub request: RequestId,
    /// Priority class.
    pub class: Class,
    /// Name of the priority class.
    pub class_name: SmolStr,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Instant,
    /// Number of hops between the entry and the downstream calls.
    pub depth: u8,
}

/// State of the gate for the `status` command and for metrics.
#[derive(Clone, Copy, Debug)]
pub struct GateStatus {
    /// Calls in flight at the target.
    pub in_flight: u32,
    /// Calls waiting for admission.
    pub queued: u32,
    /// Concurrency limit.
    pub limit: u32,
    /// Admission level.
    pub level: Level,
    /// Lifecycle phase of the node.
    pub phase: Phase,
    /// Number of records in the token table.
    pub records: usize,
}

/// A message to the gate task.
#[derive(Debug)]
pub enum GateMessage {
    /// Requests admission of a call.
    Admit(Box<AdmissionRequest>, oneshot::Sender<AdmissionDecision>),
    /// Performs the final check just before the first byte is sent to the target.
    Dispatch(InFlightKey, oneshot::Sender<Result<(), ErrorKind>>),
    /// Reports the completion of a call in flight.
    Finish(InFlightKey, Completion, oneshot::Sender<CompletionReply>),
    /// Reports that the owner of a call in flight was dropped without completing it.
    Abandon(InFlightKey),
    /// Requests the host state to attach to the reply for a call that was never in flight.
    Report(SmolStr, oneshot::Sender<HostReport>),
    /// Looks up the call in flight that a downstream call belongs to.
    Parent(ContextHandle, oneshot::Sender<Option<Parent>>),
    /// Grants part of the retry allowance to one attempt of a downstream call.
    GrantAllowance(InFlightKey, oneshot::Sender<u16>),
    /// Returns the unused part of a grant.
    ReclaimAllowance {
        /// Key of the call in flight.
        key: InFlightKey,
        /// Number of retries granted.
        granted: u16,
        /// Number of granted retries that were not used.
        left: u16,
    },
    /// Deducts one retry from the allowance.
    SpendRetry(InFlightKey, oneshot::Sender<bool>),
    /// Requests the permit for a downstream call with the given fingerprint.
    AcquirePermit(InFlightKey, u64, oneshot::Sender<DownstreamPermit>),
    /// Reports that a permit was dropped.
    ReleasePermit {
        /// Key of the call in flight that the downstream call belongs to.
        key: InFlightKey,
        /// Fingerprint of the downstream call.
        fingerprint: u64,
        /// Whether the target received a successful answer.
        succeeded: bool,
    },
    /// Reports the start of a downstream call.
    DownstreamStarted(InFlightKey),
    /// Reports that a downstream call was answered or cancelled.
    DownstreamEnded {
        /// Key of the call in flight that the downstream call belongs to.
        key: InFlightKey,
        /// Whether the downstream call was answered successfully.
        succeeded: bool,
    },
    /// Records the admission level reported by a downstream service for an operation of this target.
    DownstreamLevel(InFlightKey, Level),
    /// Permanently refuses all tries of a token up to a number, unless the call was sent to the target.
    Refuse(Box<Token>, Try, oneshot::Sender<Refusal<Arc<Answer>>>),
    /// Starts accepting work.
    Ready,
    /// Starts leaving; the reply is sent once no call is in flight.
    Leave(oneshot::Sender<()>),
    /// Requests the state for the `status` command and for metrics.
    Status(oneshot::Sender<GateStatus>),
}

impl From<&Call> for AdmissionRequest {
    fn from(call: &Call) -> Self {
        Self {
            request: call.request,
            class: call.class,
            class_name: call.class_name.clone(),
            operation: call.operation.clone(),
            bucket: call.bucket(),
            deadline: call.deadline,
            depth: call.depth,
            sending: call.attempt_number,
            allowance: call.allowance,
            once: call.once.clone(),
        }
    }
}
