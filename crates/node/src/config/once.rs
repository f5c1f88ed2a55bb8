//! Section `once`: records that prevent a call with a token from running twice.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Settings of the in-memory table of tokens whose calls have run or been refused at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceSettings {
    /// Maximum number of records. A full table refuses new tokens.
    pub capacity: u32,
    /// Maximum age of a token; older tokens are refused.
    pub retention: Duration,
    /// Additional time for which a record is kept after its token has expired.
    pub record_margin: Duration,
    /// Maximum size in bytes of an answer that is stored for repeated calls.
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
