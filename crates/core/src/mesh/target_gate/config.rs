//! Settings of a target gate.

use crate::mesh::{LevelConfig, TimeLimits};

/// Settings of the queue in front of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
    /// Concurrency limit until the published list of instances gives the target's own.
    pub slots: u32,
    /// Maximum number of queued requests; bounds memory.
    pub max_queued: usize,
    /// Share of the mean service time of its kind that a request must have left to be dispatched; 0 dispatches any
    /// request before its deadline. A run that is cut off at its deadline has wasted its slot and those of its calls.
    pub start_share: f64,
    /// Whether to leave slots free when the target slows down near full concurrency.
    pub headroom: bool,
    /// Whether the overload level counts slot time without the time during which runs wait for calls of their own.
    /// Otherwise slow calls raise the level of every service above them, which could serve other requests.
    pub level_without_waits: bool,
    /// Margins that bound how long requests may wait.
    pub limits: TimeLimits,
    /// How the overload level follows the load.
    pub level: LevelConfig,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            max_queued: 2000,
            start_share: 0.5,
            headroom: true,
            level_without_waits: true,
            limits: TimeLimits::default(),
            level: LevelConfig::default(),
        }
    }
}
