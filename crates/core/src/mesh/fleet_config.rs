//! Settings of the choice among instances.

use std::time::Duration;

use crate::id::DomainName;

/// How a node chooses among instances.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The failure domain of this node.
    pub domain: DomainName,
    /// How long an entry that vanished while the publisher was in trouble is given to come back, from its return on.
    pub lapse_hold: Duration,
    /// How long an entry that the publisher has from an older copy of itself, and that is known to be outdated, is given to be
    /// written again or removed. Then it is believed.
    pub copy_hold: Duration,
    /// What another failure domain adds to a score of about 1: its latency, and the price of bytes between domains.
    pub far_penalty: f64,
    /// Random part of a score, so that nodes with the same view do not all choose the same instance.
    pub jitter: f64,
    /// What a cold instance's score is multiplied by.
    pub cold_factor: f64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            domain: DomainName::default(),
            lapse_hold: Duration::from_millis(2200),
            copy_hold: Duration::from_secs(8),
            far_penalty: 1.0,
            jitter: 0.15,
            cold_factor: 1.6,
        }
    }
}
