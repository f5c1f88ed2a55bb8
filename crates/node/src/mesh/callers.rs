//! HTTP/1.1 server for callers. Pipelined requests are read ahead, run concurrently and answered in order.

mod chunk_deadline;
mod connection;
mod connection_end;
mod listener;
mod open_response;
mod reader;
mod sent;
mod slot;
mod writer;

pub use connection_end::ConnectionEnd;
pub use listener::{CallersConfig, listen};
pub use open_response::OpenResponse;
