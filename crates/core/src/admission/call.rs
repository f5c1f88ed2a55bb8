//! Calls and their transitions in admission control.

use std::time::Instant;

use slotmap::new_key_type;

use crate::class::Class;
use crate::error_kind::ErrorKind;

new_key_type! {
    /// Identifies a call from its offer until it is finished, cancelled or refused.
    pub struct CallKey;
}

/// A call offered for execution at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Priority class; lower classes are shed first.
    pub class: Class,
    /// Hash of the request id, the same at every hop. Within a class, higher buckets are shed first.
    pub bucket: u8,
    /// Time at which the caller stops waiting for the answer.
    pub deadline: Instant,
}

/// Result of a started call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The target answered.
    Served,
    /// The target shed the call, closed the connection or exceeded the deadline.
    Failed,
    /// The call failed because of a downstream service that the target had called; not counted against the target.
    FailedDownstream,
    /// The caller disconnected or gave up before the answer.
    Cancelled,
}

/// What the node must do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the target now and report its end with [`Admission::finish`](super::Admission::finish).
    Start(CallKey),
    /// Answer the call with this error now. The key is no longer valid.
    Refuse(CallKey, ErrorKind),
}
