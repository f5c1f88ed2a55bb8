//! What a node believes about the nodes of the fleet.

mod config;
mod entry;
mod list_delta;
mod listed;
mod view;
mod word;

pub use config::MembershipConfig;
pub use entry::{InstanceEntry, ListedState};
pub use list_delta::ListDelta;
pub use view::{ListOutcome, View};
pub use word::{NodeState, WordOutcome};
