//! Section `runtime`: settings of the async runtime.

use coltsfootport_core::jsonc::Section;

/// Settings of the async runtime.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RuntimeSettings {
    /// Number of worker threads; 0 runs all tasks on the main thread.
    pub worker_threads: u32,
}

impl RuntimeSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            worker_threads: section.integer("worker_threads", 0..=64, default.worker_threads),
        };
        section.finish();
        settings
    }
}
