//! Decision logic of an overload control layer for service call graphs, without I/O.
//!
//! Types take events and the current time as input and return the actions to perform. Nothing in this crate reads a
//! clock, opens a socket or spawns a task, so each module can be embedded elsewhere and tested with any interleaving.

pub mod admission;
pub mod allowance;
pub mod class;
pub mod collections;
pub mod dissemination;
pub mod document;
pub mod error_kind;
pub mod id;
pub mod invariant;
pub mod jsonc;
pub mod lifecycle;
pub mod membership;
pub mod mesh;
pub mod once;
pub mod outcome;
pub mod quarantine;
pub mod routing;
pub mod timeline;
pub mod workspace;
