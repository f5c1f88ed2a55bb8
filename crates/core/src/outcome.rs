//! Execution outcome of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the target ran a request, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The target ran the request. The answer comes from the target unless the error kind is
    /// [`AnswerGone`](crate::error_kind::ErrorKind::AnswerGone).
    Ran,
    /// The request did not run, and never will with this token and any try up to this one.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `coltsfootport-outcome` header.
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
