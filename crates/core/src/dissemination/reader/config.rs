//! Settings for reads of the platform.

use std::time::Duration;

/// Settings that bound how many nodes read the platform and how often.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReaderConfig {
    /// Number of readers per failure domain.
    pub readers_per_domain: usize,
    /// Number of further nodes per failure domain that may replace readers which are not present.
    pub spare_readers: usize,
    /// Maximum time that a watch waits at the platform for changes. Each answer shows that the reader is alive.
    pub watch_wait: Duration,
    /// Number of platform calls per read: one for the entries and one for the list of instances.
    pub calls_per_read: u32,
    /// Age of the last read reported by peers above which a node no longer relies on the readers. Raised if
    /// `watch_wait` requires it.
    pub max_read_age: Duration,
    /// Minimum mean interval between a node's own reads while the readers are active.
    pub slow_interval: Duration,
    /// Platform calls per second of the whole fleet while the readers are active.
    pub slow_rate: f64,
    /// Platform calls per second of the whole fleet while no reader is known to be active. Half the platform's
    /// capacity.
    pub urgent_rate: f64,
    /// Fleet size assumed before the list of instances is known.
    pub start_fleet: usize,
    /// Minimum mean delay before a failed read is retried.
    pub retry_interval: Duration,
    /// Maximum number of times the backoff doubles that delay.
    pub max_backoff_doublings: u32,
}

impl Default for ReaderConfig {
    fn default() -> Self {
        Self {
            readers_per_domain: 2,
            spare_readers: 6,
            watch_wait: Duration::from_secs(2),
            calls_per_read: 2,
            max_read_age: Duration::from_secs(10),
            slow_interval: Duration::from_secs(10),
            slow_rate: 40.0,
            urgent_rate: 1_000.0,
            start_fleet: 1400,
            retry_interval: Duration::from_millis(500),
            max_backoff_doublings: 4,
        }
    }
}
