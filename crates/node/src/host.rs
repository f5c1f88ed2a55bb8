//! The host's side of a call: admission, the target, the reply.

mod runner;
mod target;

pub use runner::{Host, HostSetup};
pub use target::{TargetClient, TargetError};
