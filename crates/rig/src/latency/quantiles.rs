//! Latency quantiles of the calls on one path.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Latency quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Number of successful calls.
    pub calls: usize,
}

impl Quantiles {
    /// Computes the quantiles of `latencies` by nearest rank; all zeros if there are none.
    pub fn of(mut latencies: Vec<Duration>) -> Self {
        latencies.sort_unstable();
        let at = |per_mille: usize| {
            let rank = (latencies.len() * per_mille).div_ceil(1000);
            let index = rank.saturating_sub(1);
            let latency = latencies.get(index).copied().unwrap_or_default();
            latency.as_secs_f64() * 1000.0
        };
        Self {
            p50_ms: at(500),
            p99_ms: at(990),
            p999_ms: at(999),
            calls: latencies.len(),
        }
    }

    /// Subtracts the quantiles of `other`; `calls` keeps the count of `self`.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            p50_ms: self.p50_ms - other.p50_ms,
            p99_ms: self.p99_ms - other.p99_ms,
            p999_ms: self.p999_ms - other.p999_ms,
            calls: self.calls,
        }
    }
}
