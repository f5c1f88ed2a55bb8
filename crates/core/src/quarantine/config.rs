//! Settings of the quarantine.

use std::time::Duration;

/// When a request is held responsible for crashes, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Crashes from which a request runs only where no other isolated request does.
    pub isolate_after: usize,
    /// Crashes from which a request is refused, if it was the only suspect at one of them.
    pub refuse_after: usize,
    /// Crashes from which a request is refused although other suspects were at work at each of them.
    pub refuse_in_company_after: usize,
    /// How long a request is refused after its latest crash; doubled with each crash beyond `refuse_after`. Then it may run
    /// again, isolated.
    pub refuse_for: Duration,
    /// How long crashes count after the latest one, or after the end of a refusal.
    pub retention: Duration,
    /// How long an answered request is not suspected again. Longer than a crash takes to be known on every node.
    pub cleared_for: Duration,
    /// Requests that are remembered at most.
    pub most_records: usize,
    /// How long findings that change no decision are batched before they are sent to other nodes.
    pub spread_after: Duration,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            isolate_after: 2,
            refuse_after: 3,
            refuse_in_company_after: 5,
            refuse_for: Duration::from_secs(300),
            retention: Duration::from_secs(600),
            cleared_for: Duration::from_secs(30),
            most_records: 4096,
            spread_after: Duration::from_millis(250),
        }
    }
}
