//! Metrics of admission control.

use std::time::Duration;

use prometheus::{Error, Histogram, IntGauge, Registry};

use super::calls::gauge_value;
use super::register;

/// Upper bounds of the buckets in seconds.
const WAIT_BUCKETS: [f64; 9] = [0.000_1, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0];

/// Metrics of admission control in front of the target.
#[derive(Clone, Debug)]
pub struct AdmissionMetrics {
    queue: IntGauge,
    limit: IntGauge,
    level: IntGauge,
    wait: Histogram,
}

impl AdmissionMetrics {
    pub(super) fn new(reg: &Registry) -> Result<Self, Error> {
        Ok(Self {
            queue: register::gauge(reg, "queue_length", "Calls that wait for a slot.")?,
            limit: register::gauge(
                reg,
                "concurrency_limit",
                "Calls that the target may work on at once.",
            )?,
            level: register::gauge(
                reg,
                "admission_level",
                "Admission level in force; 0 sheds nothing.",
            )?,
            wait: register::histogram(
                reg,
                "queue_wait_seconds",
                "Time that admitted calls waited for a slot.",
                &WAIT_BUCKETS,
            )?,
        })
    }

    /// Sets the number of queued calls.
    pub fn set_queue_length(&self, calls: usize) {
        self.queue.set(gauge_value(calls));
    }

    /// Sets the concurrency limit of the target.
    pub fn set_limit(&self, calls: usize) {
        self.limit.set(gauge_value(calls));
    }

    /// Sets the admission level.
    pub fn set_level(&self, level: u32) {
        self.level.set(i64::from(level));
    }

    /// Records the time that an admitted call spent in the queue.
    pub fn record_queue_wait(&self, time: Duration) {
        self.wait.observe(time.as_secs_f64());
    }
}
