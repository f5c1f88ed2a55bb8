//! What is published: documents and instances, as this node holds them.

mod platform_client;
mod published;
mod task;
mod word;

pub use platform_client::{PlatformClient, PlatformError};
pub use published::{DocumentInForce, NodeEntry, Published};
pub use task::{Spread, SpreadHandle, SpreadSetup};
pub use word::Word;
