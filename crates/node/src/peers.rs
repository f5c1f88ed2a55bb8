//! QUIC connections between nodes, with mutual TLS and one stream per call or control request.

mod endpoint;
mod hub;
mod identity;
mod link;
mod pause;
mod server;
mod tls;

pub use endpoint::bind;
pub use hub::{Hub, HubHandle};
pub use identity::PeerIdentity;
pub use link::{FrameLimits, Link, LinkError};
pub use server::{PeerServer, PeerServices};
pub use tls::{TlsError, TlsMaterial};
