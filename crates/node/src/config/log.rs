//! Section `log`: logging to standard error.

use coltsfootport_core::jsonc::Section;

use crate::log::{LogFormat, LogLevel};

/// Settings of the logger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Minimum severity of the lines that are written.
    pub level: LogLevel,
}

impl LogSettings {
    const FORMATS: [(&str, LogFormat); 2] =
        [("json", LogFormat::Json), ("terminal", LogFormat::Terminal)];

    const LEVELS: [(&str, LogLevel); 4] = [
        ("error", LogLevel::Error),
        ("warning", LogLevel::Warning),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
    ];

    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            format: section.choice("format", &Self::FORMATS, default.format),
            level: section.choice("level", &Self::LEVELS, default.level),
        };
        section.finish();
        settings
    }
}
