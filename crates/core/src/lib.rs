//! Decisions of an overload control layer for service call graphs, without sockets, tasks or clocks.
//!
//! Every type takes events and the current time and answers with what to do. Nothing here reads a clock, opens a socket
//! or starts a task, so each part can be embedded elsewhere and tested with any interleaving.

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
