//! Selects the faults, counters and seed of one direction, so that both directions share one implementation.

use std::net::SocketAddr;

use crate::proxy::counters::{DirectionCounters, LinkCounters};
use crate::proxy::{DirectionFaults, LinkFaults};

/// Direction of traffic on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the listening side to the target address.
    Forward,
    /// From the target address back to the listening side.
    Backward,
}

impl Direction {
    /// Returns the faults of this direction.
    pub fn faults(self, faults: &LinkFaults) -> DirectionFaults {
        match self {
            Self::Forward => faults.forward,
            Self::Backward => faults.backward,
        }
    }

    /// Returns the faults of this direction for one sender, or those of the link if the sender has none of its own.
    pub fn faults_for_sender(self, faults: &LinkFaults, sender: SocketAddr) -> DirectionFaults {
        match (
            self,
            faults.senders.iter().find(|faults| faults.sender == sender),
        ) {
            (Self::Forward, Some(faults)) => faults.forward,
            (Self::Backward, Some(faults)) => faults.backward,
            (_, None) => self.faults(faults),
        }
    }

    /// Returns the counters of this direction.
    pub fn counters(self, counters: &LinkCounters) -> &DirectionCounters {
        match self {
            Self::Forward => &counters.forward,
            Self::Backward => &counters.backward,
        }
    }

    /// Derives a distinct seed for each connection and direction.
    pub fn seed(self, link_seed: u64, connection: u64) -> u64 {
        let direction = match self {
            Self::Forward => 0,
            Self::Backward => 1,
        };
        link_seed
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            .wrapping_add(2 * connection + direction)
    }
}
