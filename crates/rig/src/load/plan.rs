//! Load plans: rates, operations and client behaviour.

use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::RigError;
use crate::load::Operation;

/// Distribution of the start times of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Poisson process: exponentially distributed gaps.
    #[default]
    Poisson,
    /// Constant gaps.
    Even,
}

/// Retry behaviour of a client after an unsuccessful call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Behaviour {
    /// Never retries.
    #[default]
    Once,
    /// Retries immediately at a random entry after any failure.
    HardRetry {
        /// Maximum number of attempts per call, including the first.
        tries: u32,
    },
    /// Retries only calls that were not executed, after the delay given in the answer.
    Polite {
        /// Maximum number of attempts per call, including the first.
        tries: u32,
    },
}

/// Period with a constant call rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Calls per second, excluding retries.
    pub rate: f64,
    /// Duration in seconds.
    pub seconds: f64,
}

/// Configuration of one run of the load generator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// Addresses of the nodes' listeners for callers. Each attempt goes to a random one.
    pub entries: Vec<SocketAddr>,
    /// Stages, run in order.
    pub stages: Vec<Stage>,
    /// Operations to choose from by weight.
    pub operations: Vec<Operation>,
    /// Retry behaviour of clients.
    pub behaviour: Behaviour,
    /// Distribution of the start times of calls.
    pub arrivals: Arrivals,
    /// The `coltsfootport-deadline-ms` header; not sent if `None`.
    pub deadline_ms: Option<u64>,
    /// Timeout of an attempt, after which the client closes its connection.
    pub timeout_ms: u64,
    /// Maximum number of calls in flight; calls beyond it are counted as skipped.
    pub max_in_flight: usize,
    /// Prefix of each call's `x-rig-key`.
    pub key_prefix: String,
    /// Whether to report the ending of each non-idempotent call by its key.
    pub record_keys: bool,
    /// Seed for the random choice of arrivals, operations and entries.
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            stages: Vec::new(),
            operations: Vec::new(),
            behaviour: Behaviour::Once,
            arrivals: Arrivals::Poisson,
            deadline_ms: None,
            timeout_ms: 5_000,
            max_in_flight: 4_096,
            key_prefix: "load".into(),
            record_keys: false,
            seed: 1,
        }
    }
}

impl LoadPlan {
    /// Returns an error if the plan cannot be run.
    pub fn check(&self) -> Result<(), RigError> {
        let invalid = |reason: &str| Err(RigError::Settings(reason.into()));
        if self.entries.is_empty() {
            return invalid("the plan has no entries");
        }
        if self
            .operations
            .iter()
            .all(|operation| operation.weight == 0)
        {
            return invalid("the plan has no operation with a positive weight");
        }
        let is_usable = |n: f64| n.is_finite() && n >= 0.0;
        if !self
            .stages
            .iter()
            .all(|stage| is_usable(stage.rate) && is_usable(stage.seconds))
        {
            return invalid("rates and seconds must be finite and not negative");
        }
        Ok(())
    }

    /// Duration of all stages in seconds, excluding calls that complete after the last stage.
    pub fn seconds(&self) -> f64 {
        self.stages.iter().map(|stage| stage.seconds).sum()
    }
}

impl Behaviour {
    /// Maximum number of attempts per call, including the first.
    pub fn tries(self) -> u32 {
        match self {
            Self::Once => 1,
            Self::HardRetry { tries } | Self::Polite { tries } => tries.max(1),
        }
    }
}

impl FromStr for Stage {
    type Err = RigError;

    fn from_str(s: &str) -> Result<Self, RigError> {
        let malformed = || RigError::Settings(format!("{s:?} is not of the form RATE:SECONDS"));
        let (rate, seconds) = s.split_once(':').ok_or_else(malformed)?;
        let number = |text: &str| text.parse().map_err(|_| malformed());
        Ok(Self {
            rate: number(rate)?,
            seconds: number(seconds)?,
        })
    }
}
