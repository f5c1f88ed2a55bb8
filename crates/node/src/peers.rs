//! QUIC between nodes: mutual TLS, one stream for each call or control message.

mod endpoint;
mod hub;
mod link;
mod replies;
mod server;
mod tls;

pub use endpoint::bind;
pub use hub::{Hub, HubHandle};
pub use link::{FrameLimits, Link, LinkError};
pub use replies::{OwedReply, Replies};
pub use server::{PeerServer, PeerServices};
pub use tls::{TlsError, TlsMaterial};
