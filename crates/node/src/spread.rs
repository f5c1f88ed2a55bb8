//! Dissemination of published documents and of the instance list: reads of the platform, gossip between nodes and the
//! local snapshot of both.

mod exchange;
mod handle;
mod message;
mod peers;
mod platform_client;
mod published;
mod read;
mod setup;
mod state_report;
mod status;
mod task;

pub use handle::SpreadHandle;
pub use message::SpreadMessage;
pub use platform_client::{PlatformClient, PlatformError};
pub use published::{DocumentInForce, NodeEntry, Published};
pub use setup::SpreadSetup;
pub use state_report::StateReport;
pub use task::SpreadTask;
