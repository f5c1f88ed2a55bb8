//! The gate: one task that decides which calls its target runs, and keeps every call in flight here.

mod below;
mod below_guard;
mod context;
mod deciding;
mod ending;
mod entering;
mod figures;
mod handle;
mod in_flight_call;
mod in_flight_guard;
mod life;
mod message;
mod own_call;
mod serving;
mod task;

pub use below::Below;
pub use below_guard::BelowGuard;
pub use context::ContextHandle;
pub use handle::GateHandle;
pub use in_flight_call::{InFlightCall, InFlightKey, InFlightPhase};
pub use in_flight_guard::InFlightGuard;
pub use message::{
    AdmissionDecision, AdmissionRequest, Completion, CompletionReply, GateMessage, GateStatus,
    Parent,
};
pub use own_call::{OwnCall, OwnCalls};
pub use task::{Gate, GateSetup};
