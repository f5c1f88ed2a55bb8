//! Policy variants that the experiments compare.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::error::RigError;

/// Variant of the admission and retry policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// Default settings.
    Full,
    /// No admission control, level shedding, deadline check or retry allowance; targets retry twice at each hop.
    None,
    /// Static concurrency limits with a queue, without level shedding and deadline check.
    Static,
    /// Default settings without level shedding.
    NoLevels,
    /// Default settings without the deadline check.
    NoDeadlineCheck,
    /// Default settings without the retry allowance.
    NoAllowance,
}

/// Retries that targets make at each hop in variant `none`.
const NAIVE_RETRIES: u32 = 2;

impl Variant {
    /// All variants.
    pub const ALL: [Self; 6] = [
        Self::Full,
        Self::None,
        Self::Static,
        Self::NoLevels,
        Self::NoDeadlineCheck,
        Self::NoAllowance,
    ];

    /// Name on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::None => "none",
            Self::Static => "static",
            Self::NoLevels => "no-levels",
            Self::NoDeadlineCheck => "no-deadline-check",
            Self::NoAllowance => "no-allowance",
        }
    }

    /// Settings that this variant applies to every node.
    pub fn node_settings(self) -> Value {
        match self {
            Self::Full => json!({}),
            Self::None => json!({
                "admission": { "mode": "off", "level_shedding": false, "deadline_check": false },
                "retries": { "allowance_enabled": false },
            }),
            Self::Static => json!({
                "admission": { "mode": "static", "level_shedding": false, "deadline_check": false },
            }),
            Self::NoLevels => json!({ "admission": { "level_shedding": false } }),
            Self::NoDeadlineCheck => json!({ "admission": { "deadline_check": false } }),
            Self::NoAllowance => json!({ "retries": { "allowance_enabled": false } }),
        }
    }

    /// Retries that targets make at each hop.
    pub const fn target_retries(self) -> u32 {
        match self {
            Self::None => NAIVE_RETRIES,
            _ => 0,
        }
    }
}

impl FromStr for Variant {
    type Err = RigError;

    fn from_str(s: &str) -> Result<Self, RigError> {
        let found = Self::ALL.into_iter().find(|variant| variant.as_str() == s);
        found.ok_or_else(|| RigError::Settings(format!("unknown variant {s:?}")))
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
