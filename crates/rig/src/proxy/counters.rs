//! Traffic counters of a link.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Snapshot of the traffic counters of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectionCounts {
    /// Bytes forwarded.
    pub bytes: u64,
    /// Datagrams, or chunks of a TCP stream, forwarded.
    pub passed: u64,
    /// Datagrams dropped by an injected fault or because a queue or the session table was full.
    pub lost: u64,
}

/// Snapshot of the traffic counters of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkCounts {
    /// TCP connections accepted, or UDP sessions opened.
    pub connections: u64,
    /// From the listening side to the target address.
    pub forward: DirectionCounts,
    /// From the target address back to the listening side.
    pub backward: DirectionCounts,
}

/// Traffic counters of one direction, updated by the tasks of the link.
#[derive(Debug, Default)]
pub struct DirectionCounters {
    bytes: AtomicU64,
    passed: AtomicU64,
    lost: AtomicU64,
}

impl DirectionCounters {
    /// Counts a forwarded chunk or datagram of `bytes` bytes.
    pub fn add_passed(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.passed.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a dropped datagram.
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

/// Traffic counters of a link, shared by its tasks.
#[derive(Debug, Default)]
pub struct LinkCounters {
    connections: AtomicU64,
    /// From the listening side to the target address.
    pub forward: DirectionCounters,
    /// From the target address back to the listening side.
    pub backward: DirectionCounters,
}

impl LinkCounters {
    /// Counts a new connection or session and returns its index, starting at 0.
    pub fn add_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            connections: self.connections.load(Ordering::Relaxed),
            forward: self.forward.counts(),
            backward: self.backward.counts(),
        }
    }
}
