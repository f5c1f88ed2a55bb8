//! Settings of the decisions under load; each mechanism can be switched off by one of them.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;
use coltsfootport_core::mesh::{
    FleetConfig, GateConfig, LevelConfig, Margin, QueueTimeoutConfig, RetryBudgetConfig,
    ShedderConfig, TimeLimits,
};

/// How a node decides under load. The defaults are those of the decisions themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicySettings {
    /// Load at which a target is full, see [`LevelConfig::target_load`]; a high one for no shedding at entries.
    pub target_load: f64,
    /// Share of its usual time that a request must have left to be started, 0 to start whatever has any.
    pub start_share: f64,
    /// Whether slots are left free where the target slows down with all of them.
    pub headroom: bool,
    /// What is taken off the time limits of requests.
    pub limits: TimeLimits,
    /// Waits of requests from outside.
    pub queue_timeout: QueueTimeoutConfig,
    /// What another failure domain adds to the expected time of a request, 0 to choose among all alike.
    pub far_penalty: f64,
    /// Time for which the same requests are the ones that are shed.
    pub shed_epoch: Duration,
    /// Shortest time after which a shed caller is asked to come back.
    pub back_soonest: Duration,
    /// What a wholly shed rank adds to it.
    pub back_later: Duration,
    /// Level from which requests from outside are not sent again after a failure.
    pub no_repeat_level: f64,
    /// Share of the bound of repeats that nodes use, 0 for no repeats.
    pub repeat_share: f64,
    /// How long an instance whose entry lapsed is used while its entry may come back, 0 to believe each removal.
    pub lapse_hold: Duration,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let shedder = ShedderConfig::default();
        Self {
            target_load: LevelConfig::default().target_load,
            start_share: GateConfig::default().start_share,
            headroom: GateConfig::default().headroom,
            limits: TimeLimits::default(),
            queue_timeout: QueueTimeoutConfig::default(),
            far_penalty: FleetConfig::default().far_penalty,
            shed_epoch: shedder.epoch,
            back_soonest: shedder.min_retry_after,
            back_later: shedder.extra_retry_after,
            no_repeat_level: 0.5,
            repeat_share: RetryBudgetConfig::default().used_share,
            lapse_hold: FleetConfig::default().lapse_hold,
        }
    }
}

impl PolicySettings {
    /// Reads the section of the settings file.
    pub fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let queue_timeout = QueueTimeoutConfig {
            latency_target_share: section.number(
                "patience_share",
                0.0..=1.0,
                default.queue_timeout.latency_target_share,
            ),
            min_share: section.number("least_patience", 0.0..=1.0, default.queue_timeout.min_share),
        };
        let limits = TimeLimits {
            answer: Margin {
                max: section.millis("answer_margin_ms", 0..=1000, default.limits.answer.max),
                ..default.limits.answer
            },
            refusal: Margin {
                max: section.millis("refusal_margin_ms", 0..=1000, default.limits.refusal.max),
                ..default.limits.refusal
            },
        };
        let settings = Self {
            limits,
            target_load: section.number("target_load", 0.1..=100.0, default.target_load),
            start_share: section.number("start_share", 0.0..=1.0, default.start_share),
            headroom: section.choice("headroom", &SWITCH, default.headroom),
            queue_timeout,
            far_penalty: section.number("far_penalty", 0.0..=100.0, default.far_penalty),
            shed_epoch: section.millis("shed_epoch_ms", 1..=600_000, default.shed_epoch),
            back_soonest: section.millis("back_soonest_ms", 0..=60_000, default.back_soonest),
            back_later: section.millis("back_later_ms", 0..=60_000, default.back_later),
            no_repeat_level: section.number(
                "no_repeat_level",
                0.0..=100.0,
                default.no_repeat_level,
            ),
            repeat_share: section.number("repeat_share", 0.0..=1.0, default.repeat_share),
            lapse_hold: section.millis("lapse_hold_ms", 0..=60_000, default.lapse_hold),
        };
        section.finish();
        settings
    }
}

const SWITCH: [(&str, bool); 2] = [("on", true), ("off", false)];
