//! HTTP/1.1 towards the target beside the node.

mod connection;
mod crash_watch;
mod exchange;
mod pool;
mod wire_request;

pub use connection::TargetConn;
pub use exchange::{ExchangeFault, Exchanged, exchange};
pub use pool::TargetPool;
pub use wire_request::WireRequest;
