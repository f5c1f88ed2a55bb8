//! Health of the publisher, which determines how removed entries are interpreted.

use std::time::{Duration, Instant};

use crate::mesh::MemberState;

/// Whether the publisher answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PublisherHealth {
    /// It answers.
    Healthy,
    /// It fails to answer.
    Unhealthy,
    /// It answers again since this time; instances whose leases expired in the meantime may not have had time to write
    /// their entries again.
    RecoveredAt(Instant),
}

/// Hold time during an outage, whose end is unknown; replaced when the publisher recovers.
const OUTAGE_HOLD: Duration = Duration::from_secs(3600);

impl PublisherHealth {
    /// When an instance whose entry was removed is to be removed as well; `None` for immediately.
    ///
    /// Leases expire during an outage although the instances are alive. Without a hold time, a whole service would
    /// have no instances for several seconds after each outage.
    pub(super) fn removal_deadline(
        self,
        member_state: MemberState,
        hold: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let until = match (member_state, self) {
            (MemberState::Draining, _) | (_, Self::Healthy) => return None,
            (MemberState::Missing { until }, _) => until,
            (_, Self::Unhealthy) => now + OUTAGE_HOLD,
            (_, Self::RecoveredAt(recovered)) => recovered + hold,
        };
        (until > now).then_some(until)
    }

    /// Advances the timer: an outage is over once all instances have had time to write their entries again.
    pub(super) fn settle(&mut self, hold: Duration, now: Instant) {
        if let Self::RecoveredAt(recovered) = *self
            && now >= recovered + hold
        {
            *self = Self::Healthy;
        }
    }
}
