//! What a node believes about an instance.

use std::time::Instant;

/// Whether an instance may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Listed and ready.
    Ready,
    /// It has said that it is about to end; nothing new goes there.
    Draining,
    /// Its entry vanished while the publisher was in trouble, or while its own host was cut off from the publisher. Entries
    /// lapse then although their instances live, so it goes on being used until the entry has had time to come back.
    Missing {
        /// When its absence counts.
        until: Instant,
    },
}

impl MemberState {
    /// Whether new requests may go there.
    pub fn takes_work(self) -> bool {
        !matches!(self, Self::Draining)
    }
}
