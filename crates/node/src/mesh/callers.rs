//! HTTP/1.1 server for callers. Pipelined requests are read ahead, run concurrently and answered in order.

mod chunk_deadline;
mod connection;
mod listener;
mod reader;
mod registry;
mod slot;
mod writer;

pub use listener::{CallersConfig, listen};
pub use registry::ConnectionRegistry;
