//! Settings of admission.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the concurrency limit is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionMode {
    /// Every call starts at once.
    Off,
    /// The limit stays at `initial_limit`.
    Static,
    /// The limit is learnt from service times and failures, starting from `initial_limit`.
    #[default]
    Adaptive,
}

/// The rule by which an adaptive limit moves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitRule {
    /// Adds one per window, cuts by a tenth when service times or failures rise.
    Aimd,
    /// Moves by the ratio of the uncongested to the observed service time.
    #[default]
    Gradient,
}

/// Settings of [`Admission`](super::Admission).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// How the concurrency limit is set.
    pub mode: AdmissionMode,
    /// The rule of an adaptive limit.
    pub limit_rule: LimitRule,
    /// Limit at the start; the slots of the target where known.
    pub initial_limit: u32,
    /// The limit never falls below this.
    pub min_limit: u32,
    /// The limit never rises above this.
    pub max_limit: u32,
    /// Most calls that wait for a slot.
    pub queue_length: usize,
    /// Whether calls above the admission level are refused on arrival.
    pub level_shedding: bool,
    /// Whether calls that can't finish in time are refused before they start.
    pub deadline_check: bool,
    /// Time over which the limit of a cold target rises to its full value.
    pub cold_start: Duration,
    /// Share of the limit that a cold target starts with.
    pub cold_share: f64,
    /// Shortest time between two moves of the limit or the level.
    pub window: Duration,
    /// Samples that a move of the limit needs.
    pub window_samples: usize,
    /// Service time, as a multiple of the uncongested one, above which the target counts as congested.
    pub tolerance: f64,
    /// Share of failed calls above that of a quiet time from which the limit is cut.
    pub failure_share: f64,
    /// Time after which the uncongested service time is measured again.
    pub base_lifetime: Duration,
    /// Time without a finished call after which the estimate of the service time is halved.
    pub estimate_half_life: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            mode: AdmissionMode::Adaptive,
            limit_rule: LimitRule::Gradient,
            initial_limit: 32,
            min_limit: 2,
            max_limit: 1024,
            queue_length: 64,
            level_shedding: true,
            deadline_check: true,
            cold_start: Duration::from_secs(2),
            cold_share: 0.25,
            window: Duration::from_millis(100),
            window_samples: 20,
            tolerance: 1.25,
            failure_share: 0.03,
            base_lifetime: Duration::from_secs(10),
            estimate_half_life: Duration::from_secs(1),
        }
    }
}
