//! The gate: one task that decides which calls its target runs, and keeps every call in flight here.

mod below;
mod below_guard;
mod context;
mod deciding;
mod ending;
mod entering;
mod figures;
mod flight;
mod guard;
mod handle;
mod life;
mod message;
mod own_call;
mod serving;
mod task;

pub use below::Below;
pub use below_guard::BelowGuard;
pub use context::ContextHandle;
pub use flight::{Flight, FlightKey, FlightPhase};
pub use guard::FlightGuard;
pub use handle::GateHandle;
pub use message::{
    AdmissionDecision, AdmissionRequest, Departure, FlightEnd, GateMessage, GateStatus, Parent,
};
pub use own_call::{OwnCall, OwnCalls};
pub use task::{Gate, GateSetup};
