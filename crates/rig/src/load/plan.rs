//! What the load generator sends.

use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::RigError;
use crate::load::Operation;

/// When calls start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// At random times with exponentially distributed gaps.
    #[default]
    Poisson,
    /// At equal gaps.
    Even,
}

/// What a client does about a call that didn't succeed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Behaviour {
    /// Nothing.
    #[default]
    Once,
    /// It sends again at once, at any entry, whatever went wrong.
    HardRetry {
        /// Sendings of a call at most.
        tries: u32,
    },
    /// It sends again only what did not run, and only after the time that the answer names.
    Polite {
        /// Sendings of a call at most.
        tries: u32,
    },
}

/// A time with one rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Calls a second, not counting retries.
    pub rate: f64,
    /// Length in seconds.
    pub seconds: f64,
}

/// A whole run of the load generator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// Callers' listeners of nodes; each sending goes to one at random.
    pub entries: Vec<SocketAddr>,
    /// Rates, one after the other.
    pub stages: Vec<Stage>,
    /// Kinds of calls.
    pub operations: Vec<Operation>,
    /// What clients do about calls that didn't succeed.
    pub behaviour: Behaviour,
    /// When calls start.
    pub arrivals: Arrivals,
    /// The `coltsfootport-deadline-ms` header; not sent where missing.
    pub deadline_ms: Option<u64>,
    /// Time after which a client gives up a sending and closes its connection.
    pub timeout_ms: u64,
    /// Calls in flight at most; those beyond are counted as skipped.
    pub max_in_flight: usize,
    /// Begin of each call's `x-rig-key`.
    pub key_prefix: String,
    /// Report how each non-idempotent call ended, by its key.
    pub record_keys: bool,
    /// Seed of arrivals, operations and entries.
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
    /// Refuses plans that can't be run.
    pub fn check(&self) -> Result<(), RigError> {
        let refuse = |reason: &str| Err(RigError::Settings(reason.into()));
        if self.entries.is_empty() {
            return refuse("no entry to send to");
        }
        if self
            .operations
            .iter()
            .all(|operation| operation.weight == 0)
        {
            return refuse("no operation to send");
        }
        let is_usable = |n: f64| n.is_finite() && n >= 0.0;
        if !self
            .stages
            .iter()
            .all(|stage| is_usable(stage.rate) && is_usable(stage.seconds))
        {
            return refuse("rates and seconds are finite and not negative");
        }
        Ok(())
    }

    /// Length of the run in seconds, without the calls that end later.
    pub fn seconds(&self) -> f64 {
        self.stages.iter().map(|stage| stage.seconds).sum()
    }
}

impl Behaviour {
    /// Sendings of a call at most.
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
