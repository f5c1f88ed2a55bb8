//! Configuration of admission control.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the concurrency limit is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionMode {
    /// No limit: every call starts immediately.
    Off,
    /// The limit is fixed at `initial_limit`.
    Static,
    /// The limit starts at `initial_limit` and adapts to service times and failures.
    #[default]
    Adaptive,
}

/// Algorithm that adjusts an adaptive limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitRule {
    /// Increases by one per window and decreases by 10 % when service times or failures rise.
    Aimd,
    /// Adjusts by the ratio of the uncongested to the observed service time.
    #[default]
    Gradient,
}

/// Configuration of [`Admission`](super::Admission).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// How the concurrency limit is set.
    pub mode: AdmissionMode,
    /// Algorithm that adjusts an adaptive limit.
    pub limit_rule: LimitRule,
    /// Initial limit; the number of slots of the target if it is known.
    pub initial_limit: u32,
    /// Lower bound of the adaptive limit of a warm target.
    pub min_limit: u32,
    /// Upper bound of the adaptive limit.
    pub max_limit: u32,
    /// Maximum number of queued calls.
    pub queue_length: usize,
    /// Whether calls above the admission level are refused on arrival.
    pub level_shedding: bool,
    /// Whether calls that can't finish before their deadline are refused before they start.
    pub deadline_check: bool,
    /// Time over which the limit of a cold target ramps up to its full value.
    pub cold_start: Duration,
    /// Fraction of the limit that applies at the start of the ramp.
    pub cold_share: f64,
    /// Minimum time between two adjustments of the limit or the level.
    pub window: Duration,
    /// Number of samples required to adjust the limit.
    pub window_samples: usize,
    /// Service time, as a multiple of the uncongested one, above which the target is considered congested.
    pub tolerance: f64,
    /// Failure ratio in excess of the normal one above which the limit is cut.
    pub failure_share: f64,
    /// Time after which the uncongested service time is measured again.
    pub base_lifetime: Duration,
    /// Half-life of the service time estimate while no call finishes.
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
