//! What is known about whether a request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the target ran a request, as told to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The target ran the request; the answer is the target's own, unless the error kind says that it was not kept.
    Ran,
    /// The request did not run and never will under this token and any try up to this one.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// The value of the `coltsfootport-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
