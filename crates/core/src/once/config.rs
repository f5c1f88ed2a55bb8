//! Configuration of the token table of a home.

use std::time::Duration;

/// Limits of the token table in records, bytes and time.
///
/// A home accepts a sustained rate of `capacity / (retention + record_margin)` new tokens per second, about 1,000 with
/// the defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceConfig {
    /// Maximum number of tokens whose call is waiting, running or has run. New tokens are refused at this limit.
    pub capacity: usize,
    /// Maximum number of records that only store a refusal. Further refusals raise a watermark, which also refuses
    /// some unused tokens.
    pub refusal_capacity: usize,
    /// Number of refusal watermarks, 8 bytes each. More watermarks refuse fewer unused tokens.
    pub watermarks: usize,
    /// Maximum age of a token by the home's clock; older tokens are refused.
    pub retention: Duration,
    /// Additional time for which a record is kept after its token has expired.
    pub record_margin: Duration,
    /// Maximum total size of all stored answers in bytes.
    pub answer_bytes: usize,
    /// Maximum size of a single stored answer in bytes.
    pub answer_limit: usize,
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            capacity: 65_536,
            refusal_capacity: 32_768,
            watermarks: 4_096,
            retention: Duration::from_secs(60),
            record_margin: Duration::from_secs(5),
            answer_bytes: 8 * 1024 * 1024,
            answer_limit: 128 * 1024,
        }
    }
}
