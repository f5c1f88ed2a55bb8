//! Section `admission`: admission control in front of the target.

use std::time::Duration;

use coltsfootport_core::jsonc::{FaultKind, Presence, Section};

/// How the concurrency limit is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// No limit: every call is sent to the target. For comparison only.
    Off,
    /// Fixed limit, equal to the initial limit.
    Static,
    /// Limit adjusted by the observed service times and completions.
    #[default]
    Adaptive,
}

/// Settings of admission control in front of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// How the concurrency limit is set.
    pub mode: AdmissionMode,
    /// Initial concurrency limit.
    pub initial_limit: u32,
    /// Lower bound of the adaptive limit.
    pub min_limit: u32,
    /// Upper bound of the adaptive limit.
    pub max_limit: u32,
    /// Maximum number of queued calls.
    pub queue_length: u32,
    /// Whether calls are shed by class and request before the limit is reached.
    pub level_shedding: bool,
    /// Whether calls that can't finish before their deadline are refused.
    pub deadline_check: bool,
    /// Time over which the limit of a newly started target ramps up to its full value.
    pub cold_start: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            mode: AdmissionMode::Adaptive,
            initial_limit: 32,
            min_limit: 32,
            max_limit: 40,
            queue_length: 64,
            level_shedding: true,
            deadline_check: true,
            cold_start: Duration::from_secs(2),
        }
    }
}

impl AdmissionSettings {
    const MODES: [(&str, AdmissionMode); 3] = [
        ("off", AdmissionMode::Off),
        ("static", AdmissionMode::Static),
        ("adaptive", AdmissionMode::Adaptive),
    ];

    pub(super) fn read(mut section: Section<'_, '_>, default: Self) -> Self {
        let initial_limit = section.integer("initial_limit", 1..=65_535, default.initial_limit);
        let min_default = default.min_limit.min(initial_limit);
        let max_default = default.max_limit.max(initial_limit);
        let settings = Self {
            mode: section.choice("mode", &Self::MODES, default.mode),
            initial_limit,
            min_limit: section.integer("min_limit", 1..=65_535, min_default),
            max_limit: section.integer("max_limit", 1..=65_535, max_default),
            queue_length: section.integer("queue_length", 0..=65_535, default.queue_length),
            level_shedding: section.boolean("level_shedding", default.level_shedding),
            deadline_check: section.boolean("deadline_check", default.deadline_check),
            cold_start: section.millis("cold_start_ms", 0..=600_000, default.cold_start),
        };
        let settings = settings.with_consistent_limits(&mut section);
        section.finish();
        settings
    }

    /// Replaces all three limits by their defaults if they contradict each other.
    fn with_consistent_limits(self, section: &mut Section<'_, '_>) -> Self {
        if self.min_limit <= self.initial_limit && self.initial_limit <= self.max_limit {
            return self;
        }
        let message = format!(
            "min_limit {} <= initial_limit {} <= max_limit {} doesn't hold; using the defaults",
            self.min_limit, self.initial_limit, self.max_limit
        );
        section.fault(
            "initial_limit",
            Presence::Optional,
            FaultKind::OutOfRange,
            message,
        );
        let Self {
            initial_limit,
            min_limit,
            max_limit,
            ..
        } = Self::default();
        Self {
            initial_limit,
            min_limit,
            max_limit,
            ..self
        }
    }
}
