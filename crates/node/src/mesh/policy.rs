//! Overload policy settings; each mechanism can be disabled by its setting.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;
use coltsfootport_core::mesh::{
    FleetConfig, GateConfig, LevelConfig, Margin, QueueTimeoutConfig, RetryBudgetConfig,
    ShedderConfig, TimeLimits,
};

/// Policy of a node under load. The defaults are taken from the configuration types of the mechanisms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicySettings {
    /// Load up to which requests are admitted, see [`LevelConfig::target_load`]. A high value disables load shedding.
    pub target_load: f64,
    /// Share of its mean service time that a request must have left to be dispatched; 0 dispatches any request before
    /// its deadline.
    pub start_share: f64,
    /// Whether to leave slots free when the target slows down near full concurrency.
    pub headroom: bool,
    /// Margins subtracted from the time limits of requests.
    pub limits: TimeLimits,
    /// Queue timeout of external requests.
    pub queue_timeout: QueueTimeoutConfig,
    /// Whether requests are shed by the services that they use and by their cost there, rather than alike for all
    /// routes of a rank.
    pub cost_admission: bool,
    /// Penalty added to the score of instances in another failure domain; 0 treats all instances alike.
    pub far_penalty: f64,
    /// Time for which the choice of requests to shed stays the same.
    pub shed_epoch: Duration,
    /// Minimum Retry-After of a shed request.
    pub min_retry_after: Duration,
    /// Added to the Retry-After in proportion to the share of the rank that is shed.
    pub extra_retry_after: Duration,
    /// Overload level above which failed external requests are not retried.
    pub no_repeat_level: f64,
    /// Share of the retry budget that nodes use; 0 disables retries.
    pub repeat_share: f64,
    /// How long an instance is kept after its entry lapsed, so that it can write the entry again; 0 applies every
    /// removal at once.
    pub lapse_hold: Duration,
    /// Whether instances are selected by the service times that their hosts report, see
    /// [`FleetConfig::reported_speed`].
    pub reported_speed: bool,
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
            cost_admission: true,
            far_penalty: FleetConfig::default().far_penalty,
            shed_epoch: shedder.epoch,
            min_retry_after: shedder.min_retry_after,
            extra_retry_after: shedder.extra_retry_after,
            no_repeat_level: 0.5,
            repeat_share: RetryBudgetConfig::default().used_share,
            lapse_hold: FleetConfig::default().lapse_hold,
            reported_speed: FleetConfig::default().reported_speed,
        }
    }
}

impl PolicySettings {
    /// Reads the `policy` section of the settings file.
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
            headroom: section.choice("headroom", &ON_OFF, default.headroom),
            queue_timeout,
            cost_admission: section.choice("cost_admission", &ON_OFF, default.cost_admission),
            far_penalty: section.number("far_penalty", 0.0..=100.0, default.far_penalty),
            shed_epoch: section.millis("shed_epoch_ms", 1..=600_000, default.shed_epoch),
            min_retry_after: section.millis("back_soonest_ms", 0..=60_000, default.min_retry_after),
            extra_retry_after: section.millis(
                "back_later_ms",
                0..=60_000,
                default.extra_retry_after,
            ),
            no_repeat_level: section.number(
                "no_repeat_level",
                0.0..=100.0,
                default.no_repeat_level,
            ),
            repeat_share: section.number("repeat_share", 0.0..=1.0, default.repeat_share),
            lapse_hold: section.millis("lapse_hold_ms", 0..=60_000, default.lapse_hold),
            reported_speed: section.choice("reported_speed", &ON_OFF, default.reported_speed),
        };
        section.finish();
        settings
    }
}

const ON_OFF: [(&str, bool); 2] = [("on", true), ("off", false)];
