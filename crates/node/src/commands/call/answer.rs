//! An answer with what its headers say about the call.

use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome;
use http::header::RETRY_AFTER;
use http::{HeaderMap, Response};

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran; absent where no node made or passed the answer.
    pub outcome: Option<Outcome>,
    /// The error kind, where the node and not the target made the answer.
    pub error: Option<ErrorKind>,
    /// The request id as text.
    pub request: Option<String>,
    /// A fresh token, where the old one can no longer run.
    pub fresh_token: Option<String>,
    /// When a new try is welcome.
    pub retry_after: Option<Duration>,
    /// The whole body.
    pub body: Bytes,
}

impl From<Response<Bytes>> for Answer {
    fn from(answer: Response<Bytes>) -> Self {
        let headers = answer.headers();
        Self {
            status: answer.status().as_u16(),
            outcome: text(headers, "coltsfootport-outcome").and_then(outcome),
            error: text(headers, "coltsfootport-error").and_then(error_kind),
            request: text(headers, "coltsfootport-request").map(str::to_owned),
            fresh_token: text(headers, "coltsfootport-token").map(str::to_owned),
            retry_after: retry_after(headers),
            body: answer.into_body(),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn outcome(label: &str) -> Option<Outcome> {
    let outcomes = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown];
    outcomes
        .into_iter()
        .find(|outcome| outcome.as_str() == label)
}

fn error_kind(label: &str) -> Option<ErrorKind> {
    ErrorKind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == label)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let millis = text(headers, "coltsfootport-retry-after-ms").and_then(|text| text.parse().ok());
    let seconds = || text(headers, RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
    millis
        .map(Duration::from_millis)
        .or_else(|| seconds().map(Duration::from_secs))
}
