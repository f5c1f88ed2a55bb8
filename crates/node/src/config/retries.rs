//! Section `retries`: retries made by the nodes.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Settings of retries made by the nodes. The limit per request is set in the service's document.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetriesSettings {
    /// Whether retries are limited by the retry allowance of the request. Disabled only to measure its effect.
    pub allowance_enabled: bool,
    /// Retries added to the budget of a service by each successful call.
    pub edge_ratio: f64,
    /// Maximum number of retries in the budget of a service, which can be made in a burst.
    pub edge_burst: u32,
    /// Upper bound of the random delay before the first retry; it doubles with each further retry.
    pub backoff: Duration,
}

impl Default for RetriesSettings {
    fn default() -> Self {
        Self {
            allowance_enabled: true,
            edge_ratio: 0.1,
            edge_burst: 10,
            backoff: Duration::from_millis(10),
        }
    }
}

impl RetriesSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let enabled = default.allowance_enabled;
        let settings = Self {
            allowance_enabled: section.boolean("allowance_enabled", enabled),
            edge_ratio: section.number("edge_ratio", 0.0..=1.0, default.edge_ratio),
            edge_burst: section.integer("edge_burst", 0..=10_000, default.edge_burst),
            backoff: section.millis("backoff_ms", 0..=10_000, default.backoff),
        };
        section.finish();
        settings
    }
}
