//! Section `timeline`: ring buffer of events.

use coltsfootport_core::jsonc::Section;

/// Settings of the ring buffer of events, which the `timeline` command merges over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimelineSettings {
    /// Maximum number of events; the oldest ones are dropped first.
    pub capacity: u32,
}

impl Default for TimelineSettings {
    fn default() -> Self {
        Self { capacity: 16_384 }
    }
}

impl TimelineSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            capacity: section.integer("capacity", 16..=1_000_000, default.capacity),
        };
        section.finish();
        settings
    }
}
