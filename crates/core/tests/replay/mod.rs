//! Replays of load on the decisions of mesh nodes, in virtual time.
//!
//! Entries, hosts and callers are stand-ins of a few lines; levels, shedding, the queue before a target, headroom and the choice
//! of an instance are the modules that nodes run.

pub mod deployment;
pub mod outcome;
mod world;

pub use deployment::{Deployment, Pattern};
pub use outcome::Outcome;
pub use world::{Policy, replay};
