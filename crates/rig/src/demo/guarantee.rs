//! Rows of the demo's result table.

use std::fmt;

use serde::Serialize;

/// Result of checking a guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The guarantee held.
    Held,
    /// The guarantee was violated.
    Broken,
}

/// A guarantee with the observed result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Guarantee {
    /// Text of the guarantee.
    pub text: &'static str,
    /// Observed values.
    pub seen: String,
    /// Result of the check.
    pub verdict: Verdict,
}

impl Guarantee {
    /// Creates a row of the table.
    pub fn new(text: &'static str, seen: String, held: bool) -> Self {
        let verdict = match held {
            true => Verdict::Held,
            false => Verdict::Broken,
        };
        Self {
            text,
            seen,
            verdict,
        }
    }

    /// Returns whether the guarantee held.
    pub fn held(&self) -> bool {
        self.verdict == Verdict::Held
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Held => "held",
            Self::Broken => "BROKEN",
        })
    }
}

impl fmt::Display for Guarantee {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<67}  {:<62}  {}", self.text, self.seen, self.verdict)
    }
}
