//! Settings of a stand-in target, which can be changed at runtime.

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

/// Handling of a call when all slots are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFull {
    /// The call waits for a slot in FIFO order.
    #[default]
    Queue,
    /// The call runs immediately, slowed down by the number of calls in flight per slot.
    Slow,
}

/// Order of the calls to downstream services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownstreamMode {
    /// One after the other. With `downstream_required`, the first failure skips the rest.
    #[default]
    Sequential,
    /// All concurrently.
    Parallel,
}

/// Health reported by `GET /health`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Unhealthy while the target is draining, as last published, or hangs.
    #[default]
    Truthful,
    /// Always healthy.
    AlwaysHealthy,
    /// Always unhealthy.
    AlwaysUnhealthy,
}

/// Downstream calls for calls whose path starts with `prefix`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathCalls {
    /// Prefix of the path as received by the target.
    pub prefix: String,
    /// Downstream calls to make.
    pub calls: Vec<MethodPath>,
}

/// Settings that determine the behaviour of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of calls that run concurrently.
    pub slots: usize,
    /// Service time in milliseconds; the mean if `service_time` is a distribution.
    pub service_ms: f64,
    /// Distribution of the service time.
    pub service_time: ServiceTime,
    /// Handling of calls when all slots are in use.
    pub when_full: WhenFull,
    /// Maximum number of calls waiting for a slot; further ones are answered with `503`. Unlimited if not set.
    pub queue_limit: Option<usize>,
    /// Duration of the cold start in milliseconds, measured from the start of the process.
    pub cold_ms: u64,
    /// Factor applied to the service time during the cold start.
    pub cold_factor: f64,
    /// Fraction of calls that are answered with `500` after their work.
    pub fail_ratio: f64,
    /// Whether calls take a slot and are never answered.
    pub hang: bool,
    /// Whether work continues after the caller closes its connection.
    pub ignore_cancel: bool,
    /// Bytes of padding in a response.
    pub answer_bytes: usize,
    /// Number of bytes after which responses are truncated.
    pub truncate_bytes: Option<usize>,
    /// Health reported by `GET /health`.
    pub health: Health,
    /// Factor applied to the numbers reported by `GET /load`.
    pub load_factor: f64,
    /// Maximum age of the published load and health, in milliseconds.
    pub load_lag_ms: u64,
    /// Downstream calls for each call.
    pub downstream: Vec<MethodPath>,
    /// Downstream calls that replace `downstream` for some paths; the first match applies.
    pub downstream_of: Vec<PathCalls>,
    /// Whether downstream calls run sequentially or in parallel.
    pub downstream_mode: DownstreamMode,
    /// Number of immediate retries, without backoff, of each failed downstream call.
    pub downstream_retries: u32,
    /// Timeout of each downstream call, in milliseconds.
    pub downstream_timeout_ms: u64,
    /// Whether a failed downstream call fails the call itself with `502`.
    pub downstream_required: bool,
    /// Seed of the random service times and failures; only read at startup.
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
    /// Returns a copy with the fields of a JSON object replaced.
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

    /// Returns the downstream calls for a call of this path.
    pub fn calls_for(&self, path: &str) -> &[MethodPath] {
        let path_calls = self
            .downstream_of
            .iter()
            .find(|path_calls| path.starts_with(&path_calls.prefix));
        path_calls.map_or(&self.downstream, |path_calls| &path_calls.calls)
    }

    /// Rejects values that are out of range.
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
