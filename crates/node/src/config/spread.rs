//! Section `spread`: dissemination of documents between nodes.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Settings for the dissemination of documents from the platform to all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Number of nodes in each failure domain that watch the platform.
    pub readers_per_domain: u32,
    /// Number of peers to which updates are pushed and with which digests are exchanged.
    pub gossip_peers: u32,
    /// Mean interval between digests.
    pub digest: Duration,
    /// Fleet size assumed until the instance list is known, by which the first reads are spread over time.
    pub start_fleet: u32,
    /// Time to wait for peers at startup before the platform's data alone is used.
    pub start_wait: Duration,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            readers_per_domain: 2,
            gossip_peers: 7,
            digest: Duration::from_millis(500),
            start_fleet: 1400,
            start_wait: Duration::from_secs(2),
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
            start_fleet: section.integer("start_fleet", 1..=100_000, default.start_fleet),
            start_wait: section.millis("start_wait_ms", 0..=60_000, default.start_wait),
        };
        section.finish();
        settings
    }
}
