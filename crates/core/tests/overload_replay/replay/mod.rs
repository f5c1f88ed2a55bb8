//! Discrete-event simulation of mesh nodes under load, in virtual time.
//!
//! Entry nodes, hosts and clients are simple models. Overload levels, shedding, target queues, headroom and instance
//! selection use the production modules.

pub mod deployment;
pub mod outcome;
mod world;

pub use deployment::{Deployment, KindSpec, Pattern};
pub use outcome::Outcome;
pub use world::{Policy, replay};
