//! Metrics of peers.

use prometheus::{Error, IntGaugeVec, Registry};

use super::calls::gauge_value;
use super::register;

/// State of a peer as seen by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// Known, with no connection yet.
    Known,
    /// Connected.
    Up,
    /// Out of reach.
    Down,
    /// Leaving; takes no new work.
    Leaving,
    /// Left out by routing for its failures.
    Ejected,
}

/// Peers by state.
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
    /// Every state.
    pub const ALL: [Self; 5] = [
        Self::Known,
        Self::Up,
        Self::Down,
        Self::Leaving,
        Self::Ejected,
    ];

    /// The label in metrics and `status`.
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
