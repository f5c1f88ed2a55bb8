//! Whether a hop may send a call again after an error.

use serde::{Deserialize, Serialize};

use crate::error_kind::ErrorKind;
use crate::outcome::Outcome;

/// Rules of retrying at one hop, before allowance and budget are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Whether this node retries at all.
    pub enabled: bool,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { enabled: true }
    }
}

impl RetryPolicy {
    /// Whether the hop that sees `kind` may send the call elsewhere.
    ///
    /// `idempotent` says whether a second run does no harm. `final_answer` says that a hop further down was next to the
    /// failure and has made up its mind; retrying above it would multiply the attempts from hop to hop.
    pub fn may_retry(&self, kind: ErrorKind, idempotent: bool, final_answer: bool) -> bool {
        let rule = kind.rule();
        if !self.enabled || final_answer || !rule.hop_may_retry {
            return false;
        }
        match rule.outcome {
            Outcome::NotRun => true,
            Outcome::Unknown => idempotent,
            Outcome::Ran => false,
        }
    }
}
