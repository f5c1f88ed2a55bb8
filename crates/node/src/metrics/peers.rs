//! Metrics of peers.

use prometheus::{Error, IntGaugeVec, Registry};

use super::calls::gauge_value;
use super::register;

/// State of a peer from the point of view of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// Known but not connected yet.
    Known,
    /// Connected.
    Up,
    /// Unreachable.
    Down,
    /// Shutting down; accepts no new calls.
    Leaving,
    /// Temporarily excluded from routing after repeated failures.
    Ejected,
}

/// Metrics of peers by state.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    peers: IntGaugeVec,
}

impl PeerMetrics {
    pub(super) fn new(reg: &Registry) -> Result<Self, Error> {
        let metrics = Self {
            peers: register::gauge_vec(reg, "peers", "Peers of this node, by state.", &["state"])?,
        };
        for state in PeerState::ALL {
            metrics.set(state, 0);
        }
        Ok(metrics)
    }

    /// Sets the number of peers in a state.
    pub fn set(&self, state: PeerState, peers: usize) {
        self.peers
            .with_label_values(&[state.as_str()])
            .set(gauge_value(peers));
    }
}

impl PeerState {
    /// All states.
    pub const ALL: [Self; 5] = [
        Self::Known,
        Self::Up,
        Self::Down,
        Self::Leaving,
        Self::Ejected,
    ];

    /// Returns the name used in metrics and by `status`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Up => "up",
            Self::Down => "down",
            Self::Leaving => "leaving",
            Self::Ejected => "ejected",
        }
    }
}
