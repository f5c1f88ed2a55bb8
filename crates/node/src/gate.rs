//! The admission gate: a single task that decides which calls the target runs and tracks every call in flight.

mod admit;
mod completion;
mod context;
mod decisions;
mod downstream_calls;
mod downstream_guard;
mod handle;
mod in_flight_call;
mod in_flight_guard;
mod lifecycle;
mod message;
mod parent;
mod repeat_detector;
mod reports;
mod task;

pub use context::ContextHandle;
pub use downstream_calls::DownstreamCalls;
pub use downstream_guard::DownstreamGuard;
pub use handle::GateHandle;
pub use in_flight_call::{InFlightCall, InFlightKey, InFlightPhase};
pub use in_flight_guard::InFlightGuard;
pub use message::{
    AdmissionDecision, AdmissionRequest, Completion, CompletionReply, GateMessage, GateStatus,
    Parent,
};
pub use repeat_detector::{DownstreamPermit, RepeatDetector};
pub use task::{Gate, GateSetup};
