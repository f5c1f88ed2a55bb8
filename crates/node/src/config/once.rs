//! Section `once`: the records that keep a token from running twice.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Records of tokens that ran or were refused here, held in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceSettings {
    /// Most records; a full table refuses new tokens.
    pub capacity: u32,
    /// Age at which a token is refused.
    pub retention: Duration,
    /// How much longer than `retention` a record is kept.
    pub record_margin: Duration,
    /// Largest answer that is kept for a repeat, in bytes.
    pub answer_bytes: u32,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            capacity: 32_768,
            retention: Duration::from_secs(120),
            record_margin: Duration::from_secs(30),
            answer_bytes: 4096,
        }
    }
}

impl OnceSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let margin = default.record_margin;
        let settings = Self {
            capacity: section.integer("capacity", 1..=1_000_000, default.capacity),
            retention: section.millis("retention_ms", 1_000..=3_600_000, default.retention),
            record_margin: section.millis("record_margin_ms", 1_000..=3_600_000, margin),
            answer_bytes: section.integer("answer_bytes", 0..=1024 * 1024, default.answer_bytes),
        };
        section.finish();
        settings
    }
}
