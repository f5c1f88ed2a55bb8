//! Estimate of the control traffic per node caused by dissemination, in bytes per second.

use super::{GossipConfig, PushMode};

/// Overhead per message: IP, UDP and QUIC headers, framing and a share of the acknowledgements.
pub const MESSAGE_OVERHEAD: f64 = 100.0;

/// Size of a digest with the sender's name, incarnation, state, tick and age of the last read.
pub const DIGEST_BYTES: f64 = 80.0;

/// Size of the key and revision of one entry.
pub const NOTICE_BYTES: f64 = 40.0;

/// Size of one entry of the list of instances.
pub const LIST_ENTRY_BYTES: f64 = 70.0;

/// Size of a handshake with certificates of both peers.
pub const HANDSHAKE_BYTES: f64 = 5_000.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Load for which the traffic is estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficModel {
    /// Accepted changes of entries per day.
    pub changes_per_day: f64,
    /// Mean size of a value, in bytes.
    pub value_bytes: usize,
    /// Changes of the list of instances per day.
    pub list_changes_per_day: f64,
}

impl Default for TrafficModel {
    /// 6,000 changes per day; 150 nodes replaced and 2 lost per day, each causing three list changes: leaving, gone,
    /// new.
    fn default() -> Self {
        Self {
            changes_per_day: 6_000.0,
            value_bytes: 2_048,
            list_changes_per_day: 456.0,
        }
    }
}

/// Control traffic that one node sends, in bytes per second, averaged over the fleet. It receives the same amount.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Digests and their replies, with the handshakes for digests to random nodes.
    pub digests: f64,
    /// Pushes and pulls of entries.
    pub entries: f64,
    /// Pushes of changes of the list of instances.
    pub list: f64,
}

impl Traffic {
    /// Sum of all traffic.
    pub fn total(&self) -> f64 {
        self.digests + self.entries + self.list
    }
}

impl TrafficModel {
    /// Estimates the traffic that one node sends under this load.
    pub fn estimate(&self, cfg: &GossipConfig) -> Traffic {
        let peers = (cfg.local_peers + cfg.remote_peers) as f64;
        let digest_rate = 1.0 / cfg.digest_interval.as_secs_f64();
        let handshake_rate = digest_rate / f64::from(cfg.random_digest_every.max(1));
        let value = self.value_bytes as f64;
        let mode = if self.value_bytes <= cfg.max_pushed_bytes {
            PushMode::Full
        } else {
            PushMode::Notice
        };
        let per_change = match mode {
            PushMode::Full => peers * (MESSAGE_OVERHEAD + NOTICE_BYTES + value),
            PushMode::Notice => {
                let pull = 2.0 * (MESSAGE_OVERHEAD + NOTICE_BYTES) + value;
                peers * (MESSAGE_OVERHEAD + NOTICE_BYTES) + pull
            }
        };
        let per_list_change = peers * (MESSAGE_OVERHEAD + NOTICE_BYTES + LIST_ENTRY_BYTES);
        Traffic {
            digests: 2.0 * digest_rate * (MESSAGE_OVERHEAD + DIGEST_BYTES)
                + handshake_rate * HANDSHAKE_BYTES,
            entries: per_change * self.changes_per_day / SECONDS_PER_DAY,
            list: per_list_change * self.list_changes_per_day / SECONDS_PER_DAY,
        }
    }
}
