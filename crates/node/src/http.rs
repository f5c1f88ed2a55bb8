//! HTTP/1.1 server for callers and client for the node's own target, based on hyper.

mod body;
mod connection;
mod headers;
mod listener;
mod pool;
mod respond;
mod stage;

pub use body::{BodyError, read_to_end};
pub use connection::CallerConnection;
pub use headers::{end_to_end_headers, names};
pub use listener::{Listener, ListenerLimits};
pub use pool::{PoolHandle, PooledSender, TargetPool};
pub use respond::{ResponseBody, json_response, refusal_response, target_response};
pub use stage::ListenerStage;
