//! Requests for slots.

use std::time::{Duration, Instant};

use crate::mesh::RequestKind;

/// Identifies a request within a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(super) u64);

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRequest {
    /// Urgency of the external request that it belongs to; 0 is served first.
    pub rank: u8,
    /// Number of ranks that are shed before its own.
    pub shed_order: usize,
    /// Share of similar external requests that the entry node was admitting when it admitted this one.
    pub admitted: f64,
    /// Route of the request.
    pub kind: RequestKind,
    /// Whether it is a call made during another run. Work upstream has already been done, so it is served before others
    /// of its rank and refused only if it can't finish in time.
    pub inner: bool,
    /// When the external request that it belongs to entered the mesh.
    pub began: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Longest expected wait at which it is still queued.
    pub queue_timeout: Duration,
}

/// Result of enqueueing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Dispatched immediately.
    Dispatched(Ticket),
    /// Queued; [`TargetGate::dispatch_next`](super::TargetGate::dispatch_next) returns its ticket when a slot is free.
    Queued(Ticket),
    /// Its expected wait is longer than its queue timeout or its remaining time, or the queue is full.
    Refused {
        /// Expected wait for a slot.
        retry_after: Duration,
    },
    /// It can no longer meet its deadline, judging by the mean service time of its kind.
    DeadlineUnreachable,
}
