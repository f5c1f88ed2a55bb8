//! A hybrid logical clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::stamp::Stamp;

/// Gives stamps that grow strictly and respect the order of messages between nodes.
///
/// Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", OPODIS 2014.
#[derive(Clone, Debug, Default)]
pub struct Hlc {
    last: Stamp,
}

/// What became of a peer's stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// Later stamps of this clock are above the peer's.
    Merged,
    /// The stamp lies too far ahead of the wall time and was ignored.
    TooFarAhead,
}

impl Hlc {
    /// How far a peer's stamp may lie ahead of this node's wall time.
    pub const MAX_AHEAD: Duration = Duration::from_secs(2);

    /// A clock that has given no stamp yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The stamp of an event that happens at `wall`; it is above every earlier one of this clock.
    ///
    /// Where the wall time steps back, stamps go on from the highest one by their counter until the wall time has
    /// caught up.
    pub fn tick(&mut self, wall: SystemTime) -> Stamp {
        let wall = Stamp {
            wall_ms: unix_ms(wall),
            counter: 0,
        };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Takes note of a stamp that a peer sent, so that what follows is stamped above it.
    pub fn observe(&mut self, peer: Stamp, wall: SystemTime) -> Observed {
        // A peer whose clock stepped hours ahead would drag every node's stamps with it, one message at a time, and
        // they would stay there. One would notice time lines from the future over the whole fleet. A stamp beyond the
        // bound is ignored, so the fault stays with that peer.
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
