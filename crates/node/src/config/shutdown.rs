//! Section `shutdown`: graceful shutdown.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Durations of a graceful shutdown, in which the node announces that it is leaving, refuses new calls and finishes the
/// calls in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Minimum time between the first announcement and the end of the process.
    pub announce: Duration,
    /// Time after which the unfinished calls are logged; they are still completed.
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
