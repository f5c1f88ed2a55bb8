//! Peer selection and client-side load balancing for outgoing calls.

mod config;
mod ejection;
mod load;
mod peer;
mod router;
mod service;
mod subset;

pub use config::RoutingConfig;
pub use load::LoadReport;
pub use peer::{PeerKey, PeerView, RouteResult};
pub use router::Router;
