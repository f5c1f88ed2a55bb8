//! Thresholds and timeouts of the quarantine.

use std::time::Duration;

/// When a request is held responsible for crashes, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of crashes from which a request is isolated: it runs only at a target that runs no other isolated
    /// request.
    pub isolate_after: usize,
    /// Number of crashes from which a request is refused, provided it was the sole suspect in at least one of them.
    pub refuse_after: usize,
    /// Number of crashes from which a request is refused even if every crash had other suspects.
    pub refuse_shared_after: usize,
    /// How long a request is refused after its latest crash, doubled for each crash beyond `refuse_after`. Afterwards
    /// the request may run again, isolated.
    pub refuse_for: Duration,
    /// How long crashes count after the latest one, or after the end of a refusal.
    pub retention: Duration,
    /// How long an answered request cannot become a suspect again. Must exceed the time in which a crash becomes known
    /// on every node.
    pub cleared_for: Duration,
    /// Maximum number of requests for which evidence is kept.
    pub max_records: usize,
    /// How long findings that do not change how a request is handled are batched before they are sent to other nodes.
    pub batch_delay: Duration,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            isolate_after: 2,
            refuse_after: 3,
            refuse_shared_after: 5,
            refuse_for: Duration::from_secs(300),
            retention: Duration::from_secs(600),
            cleared_for: Duration::from_secs(30),
            max_records: 4096,
            batch_delay: Duration::from_millis(250),
        }
    }
}
