//! Thresholds and timeouts of the quarantine.

use std::time::Duration;

/// When a request is held responsible for crashes, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of crashes from which a request is isolated: it runs only at a target that runs no other isolated
    /// request.
    pub isolate_after: usize,
    /// Number of crashes from which a request is refused, provided that enough of them ended a probe of it.
    pub refuse_after: usize,
    /// Number of probes that must end in a crash before a request is refused that targets have answered recently.
    pub refuse_answered_after: u32,
    /// Time within which crashes that end probes of one request count as one.
    pub probe_spacing: Duration,
    /// How long a request is refused after its first probe that ended in a crash. Afterwards it is probed again.
    pub refuse_for: Duration,
    /// Factor by which each further probe that ends in a crash lengthens the refusal.
    pub refuse_factor: u32,
    /// Maximum duration of a refusal.
    pub max_refusal: Duration,
    /// How long crashes count after the latest one, or after the end of a refusal.
    pub retention: Duration,
    /// How long an answered request cannot become a suspect again. Must exceed the time in which a crash becomes known
    /// on every node.
    pub cleared_for: Duration,
    /// How long a node remembers at least that it has seen a request answered.
    pub remember_answers_for: Duration,
    /// Maximum number of answered requests remembered per span of that length.
    pub max_answers: usize,
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
            refuse_answered_after: 2,
            probe_spacing: Duration::from_secs(1),
            refuse_for: Duration::from_secs(10),
            refuse_factor: 6,
            max_refusal: Duration::from_secs(3600),
            retention: Duration::from_secs(600),
            cleared_for: Duration::from_secs(30),
            remember_answers_for: Duration::from_secs(300),
            max_answers: 4096,
            max_records: 4096,
            batch_delay: Duration::from_millis(250),
        }
    }
}
