//! HTTP/1.1 server for callers and client for the node's own target, based on hyper.

mod body;
mod connection;
mod headers;
mod listener;
mod pool;
mod respond;
mod stage;

pub use body::{BodyError, read_whole};
pub use connection::CallerConnection;
pub use headers::{end_to_end, names};
pub use listener::{Listener, ListenerLimits};
pub use pool::{PoolHandle, PooledSender, TargetPool};
pub use respond::{HttpAnswer, answer_target, json, refuse};
pub use stage::ListenerStage;
