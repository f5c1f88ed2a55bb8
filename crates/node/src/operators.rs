//! The operators listener: node status, metrics, timeline and drain over HTTP.

mod acceptor;
mod handlers;
mod query;
mod server;
mod status_report;

pub use query::{DrainReply, HealthReport, NodeAddress, OperatorQuery, TimelinePage};
pub use server::{QUERY_QUEUE_CAPACITY, serve};
pub use status_report::{
    AdmissionStatus, DocumentStatus, InvariantCount, PeerStatus, PlatformStatus, StatusReport,
    TokenStatus,
};
