//! TCP transport between nodes: unencrypted frames, one request at a time per connection.

mod body_stream;
mod client;
mod conn;
mod failure_detector;
mod finding_frames;
mod findings;
mod frames;
mod health;
mod pool;
mod quota_frames;
mod quotas;
mod reply_extension;
mod rpc;
mod server;
mod trailing;
mod withdrawal;

pub use client::{LinkError, send};
pub use conn::PeerConn;
pub use failure_detector::monitor_peers;
pub use finding_frames::MAX_FINDINGS;
pub use findings::{pull_findings, push_findings};
pub use frames::StreamHead;
pub use pool::PeerPool;
pub use quotas::{send_claims, send_notices};
pub use server::{CLOSE_LINGER, ServerContext, serve};
pub use withdrawal::withdraw;
