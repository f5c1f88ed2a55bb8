//! Fleet membership as seen by one node.

mod config;
mod entry;
mod list_delta;
mod listed_instance;
mod state_report;
mod view;

pub use config::MembershipConfig;
pub use entry::{InstanceEntry, ListedState};
pub use list_delta::ListDelta;
pub use state_report::{NodeState, StateReportOutcome};
pub use view::{ListOutcome, View};
