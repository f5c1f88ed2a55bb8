//! How a call ended, as its client sees it.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::RigError;
use crate::http::ClientAnswer;
use crate::target::Echo;

/// The header with what is known about whether a call ran.
const OUTCOME_HEADER: &str = "coltsfootport-outcome";

/// How a call, or one sending of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The whole answer to this very call, with success.
    Whole,
    /// A success that is not the whole answer to this very call. Never right.
    Wrong,
    /// An answer that says that the call did not run.
    NotRun,
    /// An answer that says that the call may have run.
    Unknown,
    /// An error of the target.
    Failed,
    /// No connection, or it broke before the answer was whole.
    Broken,
    /// The client gave up.
    Timeout,
    /// The client got no token, so it sent nothing.
    NoToken,
    /// The generator had too many calls in flight, so it sent nothing.
    Skipped,
}

/// What a client expects in the answer to a call.
#[derive(Clone, Debug)]
pub struct Expected {
    /// The call's key.
    pub key: String,
    /// Path and query that the client sent; the target sees it with or without the service.
    pub path: String,
    /// CRC-32 of the request body.
    pub body_crc32: u32,
}

impl Ending {
    /// The ending of one sending.
    pub fn of(result: &Result<ClientAnswer, RigError>, expected: &Expected) -> Self {
        match result {
            Ok(answer) => Self::of_answer(answer, expected),
            Err(RigError::Timeout) => Self::Timeout,
            Err(_) => Self::Broken,
        }
    }

    fn of_answer(answer: &ClientAnswer, expected: &Expected) -> Self {
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

impl Expected {
    fn matches(&self, echo: &Echo) -> bool {
        echo.belongs_to(&self.key)
            && echo.body_crc32 == self.body_crc32
            && self.path.ends_with(&echo.path)
    }
}
