//! Section `spread`: how documents spread between nodes.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// The spread of documents from the platform to all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Nodes of each failure domain that watch the platform.
    pub readers_per_domain: u32,
    /// Nodes to which news is pushed and with which digests are exchanged.
    pub gossip_peers: u32,
    /// Mean time between two exchanges of digests.
    pub digest: Duration,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            readers_per_domain: 2,
            gossip_peers: 6,
            digest: Duration::from_secs(1),
        }
    }
}

impl SpreadSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let readers = default.readers_per_domain;
        let settings = Self {
            readers_per_domain: section.integer("readers_per_domain", 0..=100, readers),
            gossip_peers: section.integer("gossip_peers", 0..=100, default.gossip_peers),
            digest: section.millis("digest_ms", 10..=600_000, default.digest),
        };
        section.finish();
        settings
    }
}
