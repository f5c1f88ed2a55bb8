//! Change feed of the publisher, read from the publisher itself or relayed by other nodes that read it.
//!
//! In a small fleet every node reads the publisher. In a larger one a few nodes of each failure domain read it and
//! relay its responses unmodified; [`coltsfootport_core::mesh::ReadPlanner`] selects them.

mod change_log;
mod follow;
mod frames;
mod listing;
mod publisher_reader;
mod serve;
mod source;
mod task;

pub use change_log::ChangeLog;
pub use frames::FollowFrame;
pub use serve::{FeedServer, serve_feed};
pub use task::FeedTask;
