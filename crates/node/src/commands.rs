//! The commands, each with a function `run` that the binary calls.

pub mod check;
pub mod node;
