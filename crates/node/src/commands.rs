//! Implementations of the subcommands; the binary calls the `run` function of each module.

pub mod call;
pub mod check;
pub mod explain;
mod fleet;
mod input;
pub mod keys;
pub mod mesh;
pub mod node;
mod output;
mod runtime;
pub mod status;
pub mod timeline;
