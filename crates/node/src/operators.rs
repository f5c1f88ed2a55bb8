//! The operators listener: status, metrics, time line and drain over HTTP.

mod acceptor;
mod handlers;
mod query;
mod server;
mod status_report;

pub use query::{DrainReply, HealthReport, NodeAddress, OperatorQuery, TimelinePage};
pub use server::{QUERY_QUEUE, serve};
pub use status_report::{
    AdmissionStatus, DocumentStatus, InvariantCount, PeerStatus, PlatformStatus, StatusReport,
    TokenStatus,
};
