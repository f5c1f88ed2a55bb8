//! Section `shutdown`: a planned stop.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// A planned stop: announce, refuse new work, finish what is in flight, end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Time between the announcement and the refusal of new work.
    pub announce: Duration,
    /// Longest wait for the calls in flight.
    pub drain: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            announce: Duration::from_millis(500),
            drain: Duration::from_secs(60),
        }
    }
}

impl ShutdownSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            announce: section.millis("announce_ms", 0..=10_000, default.announce),
            drain: section.millis("drain_ms", 0..=3_600_000, default.drain),
        };
        section.finish();
        settings
    }
}
