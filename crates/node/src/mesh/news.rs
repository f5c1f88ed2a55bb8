//! News of the publisher: read by the node itself, or heard from other nodes that read it.
//!
//! In a small fleet every node reads. In a larger one a few nodes of each failure domain do, and pass what they read on as
//! it came; [`coltsfootport_core::mesh::ReadPlanner`] decides who.

mod board;
mod follow;
mod frames;
mod listing;
mod share;
mod source;
mod store_reader;
mod task;

pub use board::Board;
pub use frames::FollowFrame;
pub use share::{Sharing, share};
pub use task::News;
