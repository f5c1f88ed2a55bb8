//! What is said to the gate.

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

/// What the gate needs to know of a call that asks to run here.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Request on whose behalf the call is made.
    pub request: RequestId,
    /// Its class.
    pub class: Class,
    /// Name of its class.
    pub class_name: SmolStr,
    /// Its operation.
    pub operation: SmolStr,
    /// Position of the request among those of its class.
    pub bucket: u8,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Hops above it.
    pub depth: u8,
    /// Number of the sending by its entry.
    pub sending: u16,
    /// Retries granted to its subtree.
    pub allowance: u16,
    /// Token that binds it to one run.
    pub once: Option<OnceCall>,
}

/// What the gate says to a call that asked to run.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// It may go to the target after a last check.
    Admitted(InFlightGuard),
    /// An earlier try has run; this is its answer.
    Replayed(Arc<Answer>),
    /// It does not run.
    Refused(Refused),
}

/// How a call in flight ended.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The target answered.
    Answered(Arc<Answer>),
    /// It was dispatched and no whole answer came.
    Lost(ErrorKind),
    /// It was not dispatched.
    Withdrawn(ErrorKind),
}

/// What a host says with a reply.
#[derive(Clone, Debug)]
pub struct CompletionReply {
    /// Retry allowance that the subtree did not use.
    pub allowance_left: u16,
    /// State of the host.
    pub report: HostReport,
}

/// The call in flight that a target's own call serves.
#[derive(Clone, Debug)]
pub struct Parent {
    /// The call in flight.
    pub key: InFlightKey,
    /// Request on whose behalf it runs.
    pub request: RequestId,
    /// Its class.
    pub class: Class,
    /// Name of its class.
    pub class_name: SmolStr,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Hops above the target's own calls.
    pub depth: u8,
}

/// Figures of the gate for `status` and metrics.
#[derive(Clone, Copy, Debug)]
pub struct GateStatus {
    /// Calls at the target.
    pub in_flight: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Concurrency limit.
    pub limit: u32,
    /// Admission level.
    pub level: Level,
    /// Phase of the node.
    pub phase: Phase,
    /// Records of tokens.
    pub records: usize,
}

/// Everything that is said to the gate.
#[derive(Debug)]
pub enum GateMessage {
    /// A call asks to run.
    Admit(Box<AdmissionRequest>, oneshot::Sender<AdmissionDecision>),
    /// Last check right before the first byte goes to the target.
    Dispatch(InFlightKey, oneshot::Sender<Result<(), ErrorKind>>),
    /// A call in flight ended.
    Finish(InFlightKey, Completion, oneshot::Sender<CompletionReply>),
    /// A call in flight was dropped by its owner.
    Abandon(InFlightKey),
    /// State for a reply about a call that never was in flight.
    Report(SmolStr, oneshot::Sender<HostReport>),
    /// The call that a target's own call serves.
    Parent(ContextHandle, oneshot::Sender<Option<Parent>>),
    /// A part of the allowance for one attempt of a target's own call.
    GrantAllowance(InFlightKey, oneshot::Sender<u16>),
    /// What an attempt left of its part.
    ReclaimAllowance {
        /// The call in flight.
        key: InFlightKey,
        /// What was granted.
        granted: u16,
        /// What is left of it.
        left: u16,
    },
    /// One retry out of the allowance.
    SpendRetry(InFlightKey, oneshot::Sender<bool>),
    /// A target's own call, with its fingerprint, wants to begin.
    AcquirePermit(InFlightKey, u64, oneshot::Sender<DownstreamPermit>),
    /// A target's own call ended.
    ReleasePermit {
        /// The call in flight that it served.
        key: InFlightKey,
        /// What it asked for.
        fingerprint: u64,
        /// Whether the target got it.
        succeeded: bool,
    },
    /// A target's own call arrived.
    DownstreamStarted(InFlightKey),
    /// A target's own call was answered or given up.
    DownstreamEnded {
        /// The call in flight that it served.
        key: InFlightKey,
        /// Whether it was answered with success.
        succeeded: bool,
    },
    /// Admission level heard below an operation of this target.
    DownstreamLevel(InFlightKey, Level),
    /// Refuses all tries of a token up to a number for good.
    Refuse(Box<Token>, Try, oneshot::Sender<Refusal<Arc<Answer>>>),
    /// The node becomes ready to take work.
    Ready,
    /// The node begins to leave; the reply comes when nothing is in flight.
    Leave(oneshot::Sender<()>),
    /// Figures for people and metrics.
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
            sending: call.sending,
            allowance: call.allowance,
            once: call.once.clone(),
        }
    }
}
