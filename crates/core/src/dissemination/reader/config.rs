//! Settings of the reads of the platform.

use std::time::Duration;

/// How many nodes read the platform, and how fast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReaderConfig {
    /// Readers in each failure domain.
    pub readers_per_domain: usize,
    /// Further nodes of each failure domain that may take the place of readers which are gone.
    pub spares: usize,
    /// How long a reader's watch waits at the platform; each answer shows that the reader lives.
    pub watch_wait: Duration,
    /// Calls that one read makes: one for the entries and one for the list of instances.
    pub calls_per_read: u32,
    /// Age of the last read heard of above which a node no longer relies on the readers; raised where `watch_wait` asks
    /// for more.
    pub fresh_for: Duration,
    /// Shortest mean time between a node's own reads while the readers are known to read.
    pub slow_interval: Duration,
    /// Calls a second of all nodes together while the readers are known to read.
    pub slow_rate: f64,
    /// Calls a second of all nodes together while they are not; half of what the platform bears.
    pub urgent_rate: f64,
    /// Number of nodes assumed while the list is not known.
    pub start_fleet: usize,
    /// Shortest mean time before a read that failed is tried again.
    pub retry: Duration,
    /// How often that time is doubled at most.
    pub max_doublings: u32,
}

impl Default for ReaderConfig {
    fn default() -> Self {
        Self {
            readers_per_domain: 2,
            spares: 6,
            watch_wait: Duration::from_secs(2),
            calls_per_read: 2,
            fresh_for: Duration::from_secs(10),
            slow_interval: Duration::from_secs(10),
            slow_rate: 40.0,
            urgent_rate: 1_000.0,
            start_fleet: 1400,
            retry: Duration::from_millis(500),
            max_doublings: 4,
        }
    }
}
