//! Section `retries`: retries that the system itself makes.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Retries within the system; the bound for one request is in the document of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetriesSettings {
    /// Whether the allowance of a request bounds its retries; off only to measure what it brings.
    pub allowance_enabled: bool,
    /// Retries towards one service as a share of its successful calls.
    pub edge_ratio: f64,
    /// Retries towards one service that may come at once, beyond the share.
    pub edge_burst: u32,
    /// Mean wait before a retry.
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
