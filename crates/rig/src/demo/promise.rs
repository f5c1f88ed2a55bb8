//! One line of the demo's table.

use std::fmt;

use serde::Serialize;

/// Whether a promise held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It held.
    Held,
    /// It was broken.
    Broken,
}

/// A promise with what was seen of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Promise {
    /// What must hold.
    pub text: &'static str,
    /// What was seen.
    pub seen: String,
    /// Whether that keeps the promise.
    pub verdict: Verdict,
}

impl Promise {
    /// A promise that held or not.
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

    /// Whether it held.
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

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<67}  {:<62}  {}", self.text, self.seen, self.verdict)
    }
}
