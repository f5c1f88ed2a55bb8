//! An instance of the published list.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id::{DomainName, ServiceName};
use crate::mesh::Position;

/// One start of a target, as its entry in the published list tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Id. A target may start again under the id that it had.
    pub id: SmolStr,
    /// Its start in milliseconds of the Unix epoch by its own clock, where it tells; with the id it names one start of the
    /// target, which knows nothing of what an earlier one was sent.
    pub born: Option<u64>,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where the node beside it reaches it; other nodes use only its IP number.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it has said that it is about to end.
    pub leaving: bool,
    /// When its entry was first written; tells which of two instances at an address is newer.
    pub created: Position,
    /// How long it stays slow after its start, from when the entry was written.
    pub cold: Duration,
}
