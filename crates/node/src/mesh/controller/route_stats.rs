//! Statistics that an entry node keeps about a route.

use std::time::Duration;

use coltsfootport_core::mesh::Downstream;

/// Moving averages for one route.
#[derive(Clone, Debug)]
pub struct RouteStats {
    /// Moving average of the response time in seconds; 0 before the first response.
    mean_response_s: f64,
    /// Downstream calls that a run causes.
    pub downstream: Downstream,
}

/// Weight of the latest response time in the moving average.
const EWMA_WEIGHT: f64 = 0.05;

impl RouteStats {
    /// Creates empty statistics.
    pub fn new() -> Self {
        Self {
            mean_response_s: 0.0,
            downstream: Downstream::default(),
        }
    }

    /// Returns the moving average of the response time; zero before the first response.
    pub fn mean_response_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_response_s)
    }

    /// Records a response time and returns it as a multiple of the average so far, or 1 for the first response.
    pub fn record_response(&mut self, took: Duration) -> f64 {
        let took = took.as_secs_f64();
        if self.mean_response_s == 0.0 {
            self.mean_response_s = took;
        }
        let relative = took / self.mean_response_s.max(f64::MIN_POSITIVE);
        self.mean_response_s += EWMA_WEIGHT * (took - self.mean_response_s);
        relative
    }
}
