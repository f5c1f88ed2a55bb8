//! What a caller is told.

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::RequestId;
use coltsfootport_core::outcome::Outcome;
use http::{HeaderValue, Response};
use smol_str::SmolStr;

use crate::data::Verdict;
use crate::http::{HttpAnswer, answer_target, names, refuse};

/// The final answer to a caller.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// The request, for the time line.
    pub request: RequestId,
    /// What came of it.
    pub verdict: Verdict,
    /// A fresh token, where the caller's can no longer run.
    pub token: Option<SmolStr>,
}

/// HTTP statuses from here on are errors.
const MIN_ERROR_STATUS: u16 = 400;

impl CallerResponse {
    /// An answer without a token.
    pub fn new(request: RequestId, verdict: Verdict) -> Self {
        let verdict = match verdict {
            Verdict::Refused(refused) => Verdict::Refused(refused.with_default_retry_after()),
            answered => answered,
        };
        Self {
            request,
            verdict,
            token: None,
        }
    }

    /// The error kind, where a node made the answer.
    pub fn error(&self) -> Option<ErrorKind> {
        match &self.verdict {
            Verdict::Answered(_) => None,
            Verdict::Refused(refused) => Some(refused.kind),
        }
    }

    /// Whether the target answered without an error of its own.
    pub fn is_success(&self) -> bool {
        match &self.verdict {
            Verdict::Answered(answer) => answer.status.as_u16() < MIN_ERROR_STATUS,
            Verdict::Refused(_) => false,
        }
    }

    /// What is known about whether the request ran.
    pub fn outcome(&self) -> Outcome {
        match &self.verdict {
            Verdict::Answered(_) => Outcome::Ran,
            Verdict::Refused(refused) => refused.outcome,
        }
    }

    /// The HTTP answer.
    pub fn into_response(self) -> Response<HttpAnswer> {
        let mut res = match self.verdict {
            Verdict::Answered(answer) => answer_target(answer),
            Verdict::Refused(refused) => refuse(refused),
        };
        if let Ok(value) = HeaderValue::from_str(&self.request.to_string()) {
            res.headers_mut().insert(names::REQUEST, value);
        }
        if let Some(value) = self
            .token
            .and_then(|token| HeaderValue::from_str(&token).ok())
        {
            res.headers_mut().insert(names::TOKEN, value);
        }
        res
    }
}
