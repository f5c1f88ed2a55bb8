//! Statistics that an entry node keeps about a route.

use std::time::Duration;

use coltsfootport_core::mesh::{Downstream, RouteLatency};

/// What a node has learnt about one route from the responses to its requests.
#[derive(Clone, Debug, Default)]
pub struct RouteStats {
    /// Usual response time.
    pub latency: RouteLatency,
    /// Usual time until the end of an answer that is too long to be buffered.
    pub long_answers: RouteLatency,
    /// Downstream calls that a run causes.
    pub downstream: Downstream,
}

impl RouteStats {
    /// Expected time until the whole answer to a request has been passed on; zero before the first response.
    pub fn expected_completion(&self) -> Duration {
        self.latency.usual().max(self.long_answers.usual())
    }
}
