//! Settings of a stand-in target, changeable while it runs.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::RigError;
use crate::http::MethodPath;

/// Distribution of the service time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTime {
    /// Each call takes `service_ms`.
    #[default]
    Fixed,
    /// Exponentially distributed with mean `service_ms`.
    Exponential,
}

/// What happens to a call when every slot is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFull {
    /// It waits for a slot, first in first out.
    #[default]
    Queue,
    /// It runs at once, slower by the number of calls in flight per slot.
    Slow,
}

/// Whether calls to further services run one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownstreamMode {
    /// One after the other; the first failure ends the rest.
    #[default]
    Sequential,
    /// All at once.
    Parallel,
}

/// What `GET /health` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Unhealthy while the target drains or hangs, as last published.
    #[default]
    Truthful,
    /// Healthy whatever happens.
    AlwaysHealthy,
    /// Unhealthy whatever happens.
    AlwaysUnhealthy,
}

/// Calls to further services for calls whose path begins with `prefix`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathCalls {
    /// Begin of the path as the target sees it.
    pub prefix: String,
    /// The calls.
    pub calls: Vec<MethodPath>,
}

/// Everything that a target's behaviour depends on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Calls that run at once.
    pub slots: usize,
    /// Service time in milliseconds, the mean where it is distributed.
    pub service_ms: f64,
    /// Distribution of the service time.
    pub service_time: ServiceTime,
    /// What happens when every slot is taken.
    pub when_full: WhenFull,
    /// Calls that may wait for a slot; further ones are answered `503`. No limit where missing.
    pub queue_limit: Option<usize>,
    /// Length of the cold start in milliseconds, counted from the start of the process.
    pub cold_ms: u64,
    /// Factor on the service time during the cold start.
    pub cold_factor: f64,
    /// Share of calls that are answered `500` after their work.
    pub fail_ratio: f64,
    /// Calls take a slot and are never answered.
    pub hang: bool,
    /// Work goes on after the caller closes its connection.
    pub ignore_cancel: bool,
    /// Bytes of padding in an answer.
    pub answer_bytes: usize,
    /// Answers are cut off after this many bytes.
    pub truncate_bytes: Option<usize>,
    /// What `GET /health` says.
    pub health: Health,
    /// Factor on the numbers of `GET /load`.
    pub load_factor: f64,
    /// Age in milliseconds that the published load and health may reach.
    pub load_lag_ms: u64,
    /// Calls to further services for each call.
    pub downstream: Vec<MethodPath>,
    /// Calls to further services in place of `downstream` for some paths; the first that matches decides.
    pub downstream_of: Vec<PathCalls>,
    /// One after the other or all at once.
    pub downstream_mode: DownstreamMode,
    /// Naive retries of each failed call to a further service, sent at once.
    pub downstream_retries: u32,
    /// Time limit in milliseconds of each call to a further service.
    pub downstream_timeout_ms: u64,
    /// A failed call to a further service fails the call itself with `502`.
    pub downstream_required: bool,
    /// Seed of service times and failures; read at the start only.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 10,
            service_ms: 5.0,
            service_time: ServiceTime::Fixed,
            when_full: WhenFull::Queue,
            queue_limit: None,
            cold_ms: 0,
            cold_factor: 1.0,
            fail_ratio: 0.0,
            hang: false,
            ignore_cancel: false,
            answer_bytes: 0,
            truncate_bytes: None,
            health: Health::Truthful,
            load_factor: 1.0,
            load_lag_ms: 0,
            downstream: Vec::new(),
            downstream_of: Vec::new(),
            downstream_mode: DownstreamMode::Sequential,
            downstream_retries: 0,
            downstream_timeout_ms: 10_000,
            downstream_required: true,
            seed: 1,
        }
    }
}

impl Settings {
    /// These settings with the fields of a JSON object in place of their own.
    pub fn with_patch(&self, patch: &[u8]) -> Result<Self, RigError> {
        let Value::Object(patch) = serde_json::from_slice(patch)? else {
            return Err(RigError::Settings("settings are a JSON object".into()));
        };
        let mut fields = serde_json::to_value(self)?;
        if let Value::Object(fields) = &mut fields {
            fields.extend(patch);
        }
        let settings: Self = serde_json::from_value(fields)?;
        settings.check()?;
        Ok(settings)
    }

    /// Calls to further services for a call of this path.
    pub fn calls_for(&self, path: &str) -> &[MethodPath] {
        let special = self
            .downstream_of
            .iter()
            .find(|special| path.starts_with(&special.prefix));
        special.map_or(&self.downstream, |special| &special.calls)
    }

    /// Refuses values that can't be acted on.
    pub fn check(&self) -> Result<(), RigError> {
        let factors = [self.service_ms, self.cold_factor, self.load_factor];
        if factors
            .iter()
            .any(|factor| !factor.is_finite() || *factor < 0.0)
        {
            return Err(RigError::Settings(
                "times and factors are finite and not negative".into(),
            ));
        }
        if !(0.0..=1.0).contains(&self.fail_ratio) {
            return Err(RigError::Settings("fail_ratio is from 0 to 1".into()));
        }
        if self.slots == 0 {
            return Err(RigError::Settings("slots is at least 1".into()));
        }
        Ok(())
    }
}
