//! Hybrid logical clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::stamp::Stamp;

/// Hybrid logical clock, whose stamps increase strictly and respect the causal order of messages between nodes.
///
/// Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", OPODIS 2014.
#[derive(Clone, Debug, Default)]
pub struct Hlc {
    last: Stamp,
}

/// Result of observing a peer's stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The stamp was merged. All following stamps of this clock are greater.
    Merged,
    /// The stamp is too far ahead of the wall time and was ignored.
    TooFarAhead,
}

impl Hlc {
    /// Maximum time by which a peer's stamp may be ahead of this node's wall time.
    pub const MAX_AHEAD: Duration = Duration::from_secs(2);

    /// Creates a clock that has issued no stamp yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the stamp of an event at wall time `wall`, which is greater than all previous stamps of this clock.
    ///
    /// If the wall time steps back, stamps continue from the highest one by increasing the counter until the wall time
    /// has caught up.
    pub fn tick(&mut self, wall: SystemTime) -> Stamp {
        let wall = Stamp {
            wall_ms: unix_ms(wall),
            counter: 0,
        };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Merges a stamp received from a peer, so that subsequent events get a greater stamp.
    pub fn observe(&mut self, peer: Stamp, wall: SystemTime) -> Observed {
        // If the clock of one peer jumped hours ahead, its messages would gradually advance the stamps of all nodes
        // for good, and timelines of the whole fleet would show events in the future. Ignoring stamps beyond the limit
        // confines the error to that peer.
        if peer.wall_ms > unix_ms(wall).saturating_add(max_ahead_ms()) {
            return Observed::TooFarAhead;
        }
        self.last = self.last.max(peer);
        Observed::Merged
    }
}

fn unix_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn max_ahead_ms() -> u64 {
    Hlc::MAX_AHEAD.as_secs() * 1000
}
