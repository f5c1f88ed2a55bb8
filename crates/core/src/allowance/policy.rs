//! Whether a hop may send a call again after an error.

use serde::{Deserialize, Serialize};

use crate::error_kind::ErrorKind;
use crate::outcome::Outcome;

/// Retry rules of one hop, checked before the allowance and the edge budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Whether this node retries calls.
    pub enabled: bool,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { enabled: true }
    }
}

impl RetryPolicy {
    /// Whether the hop that receives an error of this kind may send the call to another peer.
    ///
    /// `idempotent` tells whether executing the call twice is safe. `final_answer` tells that the downstream hop next
    /// to the failure has already decided about retries; retrying upstream of it would multiply the attempts per hop.
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
