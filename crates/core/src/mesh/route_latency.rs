//! Usual response time of a route.

use std::time::Duration;

/// Number of responses whose median is the first estimate.
const SETTLING_RESPONSES: usize = 5;

/// Weight of the latest response time in the moving average.
const EWMA_WEIGHT: f64 = 0.05;

/// Estimate of the usual response time of a route, with which the response times of its instances are compared.
///
/// The first response alone is no estimate. If it is slow, all later responses look fast, and the few instances that
/// gave them get the requests of all others.
#[derive(Clone, Debug)]
pub enum RouteLatency {
    /// The first response times.
    Settling(Vec<Duration>),
    /// Moving average of the response time in seconds.
    Settled(f64),
}

impl Default for RouteLatency {
    fn default() -> Self {
        Self::Settling(Vec::new())
    }
}

impl RouteLatency {
    /// Returns the usual response time; zero before the first response.
    pub fn usual(&self) -> Duration {
        match self {
            Self::Settling(first) => median(first),
            Self::Settled(mean) => Duration::from_secs_f64(*mean),
        }
    }

    /// Records a response time. Returns it as a multiple of the usual one, or 1 while that is not known.
    pub fn record(&mut self, took: Duration) -> f64 {
        match self {
            Self::Settling(first) => {
                first.push(took);
                if first.len() == SETTLING_RESPONSES {
                    *self = Self::Settled(median(first).as_secs_f64());
                }
                1.0
            }
            Self::Settled(mean) => {
                let took = took.as_secs_f64();
                let relative = took / mean.max(f64::MIN_POSITIVE);
                *mean += EWMA_WEIGHT * (took - *mean);
                relative
            }
        }
    }
}

fn median(times: &[Duration]) -> Duration {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
