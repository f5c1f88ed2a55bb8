//! Final response to a caller.

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::RequestId;
use coltsfootport_core::outcome::Outcome;
use http::{HeaderValue, Response};
use smol_str::SmolStr;

use crate::data::Verdict;
use crate::http::{ResponseBody, names, refusal_response, target_response};

/// Final response to a caller.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// Id of the request, by which its timeline is found.
    pub request: RequestId,
    /// Verdict on the call.
    pub verdict: Verdict,
    /// New token, if the caller's one can no longer be used to run the call.
    pub token: Option<SmolStr>,
}

/// Lowest HTTP status that is an error.
const MIN_ERROR_STATUS: u16 = 400;

impl CallerResponse {
    /// Creates a response without a token. A refusal without a retry delay gets the default one.
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

    /// Returns the error kind, if the response was made by a node and not by the target.
    pub fn error(&self) -> Option<ErrorKind> {
        match &self.verdict {
            Verdict::Answered(_) => None,
            Verdict::Refused(refused) => Some(refused.kind),
        }
    }

    /// Returns whether the target answered with a status that is no error.
    pub fn is_success(&self) -> bool {
        match &self.verdict {
            Verdict::Answered(answer) => answer.status.as_u16() < MIN_ERROR_STATUS,
            Verdict::Refused(_) => false,
        }
    }

    /// Returns what is known about whether the call ran.
    pub fn outcome(&self) -> Outcome {
        match &self.verdict {
            Verdict::Answered(_) => Outcome::Ran,
            Verdict::Refused(refused) => refused.outcome,
        }
    }

    /// Converts the response to HTTP.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut res = match self.verdict {
            Verdict::Answered(answer) => target_response(answer),
            Verdict::Refused(refused) => refusal_response(refused),
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
