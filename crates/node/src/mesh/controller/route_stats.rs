//! Statistics that an entry node keeps about a route.

use coltsfootport_core::mesh::{Downstream, RouteLatency};

/// What a node has learnt about one route from the responses to its requests.
#[derive(Clone, Debug, Default)]
pub struct RouteStats {
    /// Usual response time.
    pub latency: RouteLatency,
    /// Downstream calls that a run causes.
    pub downstream: Downstream,
}
