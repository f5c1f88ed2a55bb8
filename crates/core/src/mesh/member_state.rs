//! State of a known instance.

use std::time::Instant;

/// Whether an instance may receive new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Listed and ready.
    Ready,
    /// The instance has announced that it is about to end; it receives no new requests.
    Draining,
    /// Its entry was removed while the publisher failed, or while its own host could not reach the publisher.
    /// Leases expire then although the instances are alive, so the instance remains in use until the entry has had
    /// time to be written again.
    Missing {
        /// When the instance is removed unless its entry has been written again.
        until: Instant,
    },
}

impl MemberState {
    /// Whether the instance may receive new requests.
    pub fn accepts_requests(self) -> bool {
        !matches!(self, Self::Draining)
    }
}
