//! An instance in the published list.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id::{DomainName, ServiceName};
use crate::mesh::Position;

/// One start of a target, as described by its entry in the published list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Id of the instance. A target may reuse its id after a restart.
    pub id: SmolStr,
    /// Start time in milliseconds of the Unix epoch by the target's own clock, if published. Together with the id it
    /// identifies one start of the target; a restarted target has no knowledge of requests sent to an earlier start.
    /// It does not tell which start is later, since the clock may have been set back between them.
    pub started_at_ms: Option<u64>,
    /// The service that the instance runs.
    pub service: ServiceName,
    /// Address at which the node next to the target reaches it; other nodes use only the IP address.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the instance has announced that it is about to end.
    pub leaving: bool,
    /// When the entry was first written; determines which of two instances at the same address is newer.
    pub created: Position,
    /// When the entry was last written; determines which of two entries with the same id is newer.
    pub written: Position,
    /// How long the instance remains slow after its start, measured from the time at which the entry was written.
    pub warm_up: Duration,
}
