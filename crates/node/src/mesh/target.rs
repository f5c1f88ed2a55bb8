//! HTTP/1.1 client for the local target.

mod announcement;
mod connection;
mod crash_detector;
mod exchange;
mod pool;
mod standstill;
mod wire_request;

pub use announcement::{InvalidRateLimit, announces_leaving, read_announcement};
pub use connection::TargetConn;
pub use exchange::{CheckedResponse, ExchangeError, exchange};
pub use pool::TargetPool;
pub use standstill::wait_until_reading;
pub use wire_request::WireRequest;
