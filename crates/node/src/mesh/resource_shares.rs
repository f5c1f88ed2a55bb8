//! Parts of the process's memory and descriptors that may be taken for others.

use coltsfootport_core::mesh::{ByteBudgetConfig, ConnectionLimitConfig};
use rustix::process::{Resource, getrlimit};

use super::settings::LoadSettings;

/// Part of the memory, as a divisor, that may be held for callers and other nodes. The rest is for the program and its
/// state, what sockets have received, and gaps in the heap.
const HELD_PART: usize = 4;

/// Part of the memory, as a divisor, from which the receive buffers of callers' connections are taken.
const RECEIVE_PART: usize = 16;

/// Part of the descriptors, as a divisor, that may be taken by the links of requests.
const REQUESTS_PART: usize = 3;

/// Share of the descriptors that connections of callers may take; links, the target and the publisher need the rest.
const CALLERS_SHARE: f64 = 0.5;

/// Share of the descriptors that idle connections of other nodes may take.
const PEERS_SHARE: f64 = 0.15;

/// Memory and descriptors of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShares {
    /// Memory in bytes.
    memory: usize,
    descriptors: usize,
}

impl ResourceShares {
    /// Bound on the bytes held for callers and other nodes.
    pub fn held_bytes(&self) -> ByteBudgetConfig {
        ByteBudgetConfig {
            limit: self.memory / HELD_PART,
            requests: self.descriptors / REQUESTS_PART,
            ..Default::default()
        }
    }

    /// Bytes that the receive buffers of callers' connections share.
    pub fn receive_buffers(&self) -> usize {
        self.memory / RECEIVE_PART
    }

    /// Bound on the connections of callers.
    pub fn callers(&self) -> ConnectionLimitConfig {
        self.connections(CALLERS_SHARE)
    }

    /// Bound on the connections of other nodes.
    pub fn peers(&self) -> ConnectionLimitConfig {
        self.connections(PEERS_SHARE)
    }

    fn connections(&self, share: f64) -> ConnectionLimitConfig {
        ConnectionLimitConfig {
            descriptors: self.descriptors,
            share,
            ..Default::default()
        }
    }
}

impl From<LoadSettings> for ResourceShares {
    /// Takes the limits of the settings, or that of the system for descriptors if none is set.
    fn from(load: LoadSettings) -> Self {
        let descriptors = match load.descriptors {
            0 => getrlimit(Resource::Nofile).current,
            set => Some(u64::from(set)),
        };
        let descriptors = descriptors.unwrap_or(u64::from(u32::MAX));
        Self {
            memory: load.memory_mb as usize * 1_000_000,
            descriptors: usize::try_from(descriptors).unwrap_or(usize::MAX),
        }
    }
}
