//! What passed a link.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counts of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectionCounts {
    /// Bytes passed on.
    pub bytes: u64,
    /// Datagrams, or pieces of a TCP stream, passed on.
    pub passed: u64,
    /// Datagrams lost on purpose or for lack of room.
    pub lost: u64,
}

/// Counts of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkCounts {
    /// TCP connections accepted, or UDP senders seen.
    pub connections: u64,
    /// From the listening side to the target address.
    pub forward: DirectionCounts,
    /// Back.
    pub backward: DirectionCounts,
}

/// Counters of one direction, raised by its tasks.
#[derive(Debug, Default)]
pub struct DirectionCounters {
    bytes: AtomicU64,
    passed: AtomicU64,
    lost: AtomicU64,
}

impl DirectionCounters {
    /// A piece was passed on.
    pub fn add_passed(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.passed.fetch_add(1, Ordering::Relaxed);
    }

    /// A datagram was lost.
    pub fn add_lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    fn counts(&self) -> DirectionCounts {
        DirectionCounts {
            bytes: self.bytes.load(Ordering::Relaxed),
            passed: self.passed.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
        }
    }
}

/// Counters of a link.
#[derive(Debug, Default)]
pub struct LinkCounters {
    connections: AtomicU64,
    /// From the listening side to the target address.
    pub forward: DirectionCounters,
    /// Back.
    pub backward: DirectionCounters,
}

impl LinkCounters {
    /// A connection was accepted; returns its number, from 0.
    pub fn add_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    /// The counts so far.
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            connections: self.connections.load(Ordering::Relaxed),
            forward: self.forward.counts(),
            backward: self.backward.counts(),
        }
    }
}
