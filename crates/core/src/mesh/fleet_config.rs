//! Settings for load balancing among instances.

use std::time::Duration;

use crate::id::DomainName;
use crate::mesh::Instance;

/// Settings of a node's load balancing.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The failure domain of this node.
    pub domain: DomainName,
    /// How long an instance whose entry was removed during a publisher outage is kept after the publisher's
    /// recovery, so that it can write its entry again. Also applies after a report that the host of the instance
    /// can't reach the publisher.
    pub lapse_hold: Duration,
    /// How long an outdated entry, from an older copy that the publisher was restored from, is ignored so that it
    /// can be rewritten or removed. After that it is accepted.
    pub outdated_entry_hold: Duration,
    /// Like `outdated_entry_hold`, for an entry that says that its instance is leaving. If it is believed wrongly, the
    /// instance is not used until it writes its entry again; if it is ignored wrongly, requests are cut off at the end
    /// of the instance.
    pub leaving_entry_hold: Duration,
    /// Added to the score, which is about 1, of an instance in another failure domain; accounts for the latency and the
    /// cost of traffic between domains.
    pub far_penalty: f64,
    /// Relative random part of a score; prevents nodes with the same view from all selecting the same instance.
    pub jitter: f64,
    /// Factor on the score of an instance that is warming up.
    pub cold_factor: f64,
    /// Whether reported service times decide how slow an instance is; otherwise only the response times observed by
    /// this node do.
    pub reported_speed: bool,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            domain: DomainName::default(),
            lapse_hold: Duration::from_millis(2200),
            outdated_entry_hold: Duration::from_secs(8),
            leaving_entry_hold: Duration::from_secs(1),
            far_penalty: 1.0,
            jitter: 0.15,
            cold_factor: 1.6,
            reported_speed: true,
        }
    }
}

impl FleetConfig {
    /// How long an entry is ignored that contradicts the known state of its instance.
    pub(super) fn hold_of(&self, entry: &Instance) -> Duration {
        match entry.leaving {
            true => self.leaving_entry_hold,
            false => self.outdated_entry_hold,
        }
    }
}
