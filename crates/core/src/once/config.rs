//! Settings of the table of a home.

use std::time::Duration;

/// Bounds of a home's table in records, bytes and time.
///
/// A home takes `capacity / (retention + record_margin)` new tokens a second for as long as the load lasts; with the
/// defaults about 1,000.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceConfig {
    /// Most tokens whose call waits, runs or ran; at this number new tokens are refused.
    pub capacity: usize,
    /// Most tokens kept only because tries of them were refused. Beyond it refused tokens go into the floors, which
    /// refuse some unused tokens along with them.
    pub burn_capacity: usize,
    /// Number of floors; more floors refuse fewer unused tokens. Each takes 8 bytes.
    pub watermarks: usize,
    /// Age from which a token is refused, by the home's clock.
    pub retention: Duration,
    /// Time for which a record is kept beyond its token's retention.
    pub record_margin: Duration,
    /// Most bytes of all kept answers together.
    pub answer_bytes: usize,
    /// Largest answer that is kept, in bytes.
    pub answer_limit: usize,
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            capacity: 65_536,
            burn_capacity: 32_768,
            watermarks: 4_096,
            retention: Duration::from_secs(60),
            record_margin: Duration::from_secs(5),
            answer_bytes: 8 * 1024 * 1024,
            answer_limit: 128 * 1024,
        }
    }
}
