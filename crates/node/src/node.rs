//! Starts the tasks of a node and runs until it is stopped.

mod base;
mod desk;
mod life;
mod meter;
mod start;

pub use start::{NodeError, run};
