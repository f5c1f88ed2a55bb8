//! Membership settings.

use std::time::Duration;

/// Thresholds and timeouts for the platform's list and the nodes' state reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Fraction of the live instances (0 to 1) that a single list may remove without being held.
    pub loss_share: f64,
    /// How long removals are held if a list removes more than `loss_share` or all live instances of a service.
    pub hold: Duration,
    /// How long an unreachable node is excluded, unless it sends a state report earlier.
    pub unreachable_for: Duration,
    /// How long the current incarnation must be silent before an earlier one that still sends reports replaces it.
    ///
    /// Must be longer than the maximum delay of a state report between two nodes.
    pub silence: Duration,
    /// How long the state reports of a node that is no longer listed are kept.
    pub forget_after: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            loss_share: 0.2,
            hold: Duration::from_secs(30),
            unreachable_for: Duration::from_secs(10),
            silence: Duration::from_secs(30),
            forget_after: Duration::from_secs(3600),
        }
    }
}
