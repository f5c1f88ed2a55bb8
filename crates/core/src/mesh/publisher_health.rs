//! What is known about the publisher's health, and so about entries that vanish.

use std::time::{Duration, Instant};

use crate::mesh::MemberState;

/// Whether the publisher answers as it should.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PublisherHealth {
    /// It does.
    Sound,
    /// It does not.
    Troubled,
    /// It does again, since this moment; entries that lapsed meanwhile have had no time to come back yet.
    BackSince(Instant),
}

/// Stands for the unknown end of the publisher's trouble; replaced when it returns.
const UNTIL_RETURN: Duration = Duration::from_secs(3600);

impl PublisherHealth {
    /// When the absence of an instance's entry counts; `None` for at once.
    ///
    /// Leases run out during an outage although their instances live. Taken as gone, a whole service would have no
    /// instance left for seconds after each outage.
    pub(super) fn absence_counts(
        self,
        member_state: MemberState,
        hold: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let until = match (member_state, self) {
            (MemberState::Draining, _) | (_, Self::Sound) => return None,
            (MemberState::Missing { until }, _) => until,
            (_, Self::Troubled) => now + UNTIL_RETURN,
            (_, Self::BackSince(back)) => back + hold,
        };
        (until > now).then_some(until)
    }

    /// Lets time pass: an outage is over when all entries have had their time to come back.
    pub(super) fn settle(&mut self, hold: Duration, now: Instant) {
        if let Self::BackSince(back) = *self
            && now >= back + hold
        {
            *self = Self::Sound;
        }
    }
}
