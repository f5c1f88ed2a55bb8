//! A call that is in flight at this node.

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

/// How far a call in flight has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightPhase {
    /// It waits for admission.
    Queued,
    /// It may go to the target.
    Admitted,
    /// Its first byte may have reached the target.
    Dispatched,
}

/// A call that is in flight at this node.
#[derive(Debug)]
pub struct InFlightCall {
    /// Request on whose behalf it runs.
    pub request: RequestId,
    /// Its class.
    pub class: Class,
    /// Name of its class.
    pub class_name: SmolStr,
    /// Its operation.
    pub operation: SmolStr,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Hops above it.
    pub depth: u8,
    /// Number of the sending by its entry.
    pub sending: u16,
    /// When it asked to run.
    pub arrived_at: Instant,
    /// Retries that its subtree may still make.
    pub allowance: Allowance,
    /// Its place in admission.
    pub admission_key: CallKey,
    /// Its record, where it runs at most once.
    pub record: Option<RecordKey>,
    /// How far it has come.
    pub phase: InFlightPhase,
    /// Where its admission is awaited, until it is decided.
    pub reply: Option<oneshot::Sender<AdmissionDecision>>,
    /// Its target's own calls; a repeat of a failed one is a retry.
    pub repeat_detector: RepeatDetector,
    /// Time that its target spends on its own calls.
    pub downstream: DownstreamCalls,
}
