//! Calls as admission sees them.

use std::time::Instant;

use slotmap::new_key_type;

use crate::class::Class;
use crate::error_kind::ErrorKind;

new_key_type! {
    /// Key of a call from its offer to its end.
    pub struct CallKey;
}

/// A call that asks to run at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Rank of the call for shedding.
    pub class: Class,
    /// Hash of the request id, the same at every hop; higher buckets are shed earlier within a class.
    pub bucket: u8,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
}

/// How a started call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The target answered.
    Served,
    /// The target shed the call, broke its connection or ran past the deadline.
    Failed,
    /// The call failed for a further service that the target had called; says nothing of the target itself.
    FailedDownstream,
    /// The caller left before the answer.
    Cancelled,
}

/// What the node has to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the target now; answer with [`Admission::finish`](super::Admission::finish) when it ends.
    Start(CallKey),
    /// Answer the call with this error now; its key is gone.
    Refuse(CallKey, ErrorKind),
}
