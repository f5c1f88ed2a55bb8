//! Calls in flight at this node.

use std::time::Instant;

use coltsfootport_core::admission::CallKey;
use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::class::Class;
use coltsfootport_core::id::RequestId;
use coltsfootport_core::once::RecordKey;
use slotmap::new_key_type;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::{AdmissionDecision, DownstreamCalls, RepeatDetector};

new_key_type! {
    /// Key of a call in flight.
    pub struct InFlightKey;
}

/// Progress of a call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightPhase {
    /// Waiting for admission.
    Queued,
    /// Admitted, but not yet dispatched to the target.
    Admitted,
    /// Dispatched: its first byte may have reached the target.
    Dispatched,
}

/// A call in flight at this node, from admission queue to completion.
#[derive(Debug)]
pub struct InFlightCall {
    /// Request that the call belongs to.
    pub request: RequestId,
    /// Priority class.
    pub class: Class,
    /// Name of the priority class.
    pub class_name: SmolStr,
    /// Operation that is called.
    pub operation: SmolStr,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Instant,
    /// Number of hops between the entry and this call.
    pub depth: u8,
    /// Number of the attempt, as counted by its entry.
    pub sending: u16,
    /// When the call arrived at the gate.
    pub arrived_at: Instant,
    /// Retries that the call and its downstream calls may still use.
    pub allowance: Allowance,
    /// Key of the call in the admission controller.
    pub admission_key: CallKey,
    /// Token record, if the call runs at most once.
    pub record: Option<RecordKey>,
    /// Progress of the call.
    pub phase: InFlightPhase,
    /// Channel for the admission decision; taken once the decision is sent.
    pub reply: Option<oneshot::Sender<AdmissionDecision>>,
    /// Detects downstream calls that repeat a failed one; these are charged as retries.
    pub repeat_detector: RepeatDetector,
    /// Active downstream calls and the time spent on them.
    pub downstream: DownstreamCalls,
}
