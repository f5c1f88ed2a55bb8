//! Distribution of published entries to every node: platform readers, gossip, pulls, digests and replicas.

mod digest;
mod entry;
mod gossip;
mod in_force;
mod pulls;
mod reader;
mod rendezvous;
mod replica;
mod start_up;
pub mod traffic;

pub use digest::{Comparison, Digest};
pub use entry::{Entry, Key, KeyVersion, Revision};
pub use gossip::{GossipConfig, GossipPlan, PushMode};
pub use in_force::{OfferOutcome, Rejected, Version, VersionsInForce};
pub use pulls::{PullConfig, PullRetry, Pulls};
pub use reader::{NextRead, ReaderConfig, ReaderPolicy};
pub use replica::{Applied, Difference, Replica, ValidationResult};
pub use start_up::{StartUp, StartUpConfig};
pub use traffic::{Traffic, TrafficModel};
