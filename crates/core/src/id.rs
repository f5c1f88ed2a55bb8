//! Identifiers used across modules.

mod incarnation;
mod names;
mod request_id;

pub use incarnation::Incarnation;
pub use names::{DomainName, NodeName, RegionName, ServiceName};
pub use request_id::RequestId;
