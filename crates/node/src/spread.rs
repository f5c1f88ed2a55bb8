//! What is published: documents and instances, as this node holds them.

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
