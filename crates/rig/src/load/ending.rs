//! Classifies how a call ended from the point of view of its client.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::RigError;
use crate::http::ClientAnswer;
use crate::target::Echo;

/// Response header that states whether a call was executed.
const OUTCOME_HEADER: &str = "coltsfootport-outcome";

/// How a call, or one attempt of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// A successful and complete answer that belongs to this call.
    Whole,
    /// A successful answer that is incomplete or belongs to another call; always a fault.
    Wrong,
    /// An answer stating that the call was not executed.
    NotRun,
    /// An answer stating that the call may have been executed.
    Unknown,
    /// An error response of the target.
    Failed,
    /// The connection failed, or closed before the answer was complete.
    Broken,
    /// The client timed out.
    Timeout,
    /// Not sent: the client obtained no token.
    NoToken,
    /// Not sent: the generator was at its limit of calls in flight.
    Skipped,
}

/// Values that the answer to a call must contain.
#[derive(Clone, Debug)]
pub struct ExpectedAnswer {
    /// Key of the call.
    pub key: String,
    /// Path and query that the client sent. The target may receive them without the service prefix.
    pub path: String,
    /// CRC-32 of the request body.
    pub body_crc32: u32,
}

impl Ending {
    /// Classifies the result of one attempt.
    pub fn of(result: &Result<ClientAnswer, RigError>, expected: &ExpectedAnswer) -> Self {
        match result {
            Ok(answer) => Self::of_answer(answer, expected),
            Err(RigError::Timeout) => Self::Timeout,
            Err(_) => Self::Broken,
        }
    }

    fn of_answer(answer: &ClientAnswer, expected: &ExpectedAnswer) -> Self {
        match answer.header(OUTCOME_HEADER) {
            Some("not-run") => return Self::NotRun,
            Some("unknown") => return Self::Unknown,
            _ => {}
        }
        if answer.status != StatusCode::OK {
            return Self::Failed;
        }
        match serde_json::from_slice::<Echo>(&answer.body) {
            Ok(echo) if expected.matches(&echo) => Self::Whole,
            _ => Self::Wrong,
        }
    }
}

impl ExpectedAnswer {
    fn matches(&self, echo: &Echo) -> bool {
        echo.belongs_to(&self.key)
            && echo.body_crc32 == self.body_crc32
            && self.path.ends_with(&echo.path)
    }
}
