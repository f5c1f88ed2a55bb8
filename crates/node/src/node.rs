//! Starts the tasks of a node and runs them until it is stopped.

mod builder;
mod gauges;
mod lifecycle;
mod operator_queries;
mod start;

pub use start::{NodeError, run};
