//! The commands, each with a function `run` that the binary calls.

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
