//! Settings of the view of the fleet.

use std::time::Duration;

/// How far the platform's list and the nodes' own words are trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Share of the live instances (0 to 1) that one list may take away at once without being held.
    pub loss_share: f64,
    /// How long a list that takes away more is held before it is believed.
    pub hold: Duration,
    /// How long a node that could not be reached is left out, unless it is heard before.
    pub unreachable_for: Duration,
    /// How long an incarnation must be silent before an earlier one that still speaks is believed again.
    ///
    /// It must be longer than any delay of a word between two nodes.
    pub silence: Duration,
    /// How long the word of a node that is no longer listed is remembered.
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
