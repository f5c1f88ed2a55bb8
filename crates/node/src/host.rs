//! Host side of a call: admission, exchange with the target, and reply.

mod runner;
mod target;

pub use runner::{Host, HostSetup};
pub use target::{TargetClient, TargetError};
