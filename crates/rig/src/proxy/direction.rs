//! The two directions of a link, so that one code serves both.

use std::net::SocketAddr;

use crate::proxy::counters::{DirectionCounters, LinkCounters};
use crate::proxy::{DirectionFaults, LinkFaults};

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the listening side to the target address.
    Forward,
    /// Back.
    Backward,
}

impl Direction {
    /// This direction's faults.
    pub fn faults(self, faults: &LinkFaults) -> DirectionFaults {
        match self {
            Self::Forward => faults.forward,
            Self::Backward => faults.backward,
        }
    }

    /// This direction's faults between one sender and the target address.
    pub fn faults_of(self, faults: &LinkFaults, sender: SocketAddr) -> DirectionFaults {
        match (
            self,
            faults.senders.iter().find(|faults| faults.sender == sender),
        ) {
            (Self::Forward, Some(faults)) => faults.forward,
            (Self::Backward, Some(faults)) => faults.backward,
            (_, None) => self.faults(faults),
        }
    }

    /// This direction's counters.
    pub fn counters(self, counters: &LinkCounters) -> &DirectionCounters {
        match self {
            Self::Forward => &counters.forward,
            Self::Backward => &counters.backward,
        }
    }

    /// A seed of its own for each connection and direction.
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
