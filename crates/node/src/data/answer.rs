//! What came of a call.

use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::once::AnswerSize;
use http::{HeaderMap, StatusCode};

/// A target's whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether it was kept from an earlier try of the same token.
    pub replayed: bool,
}

/// An answer that coltsfootport makes itself.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Why.
    pub kind: ErrorKind,
    /// When a new try is welcome; zero where the kind names no time.
    pub retry_after: Duration,
}

/// What came of a call.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The target answered.
    Answered(Answer),
    /// A node answers in place of the target.
    Refused(Refused),
}

impl AnswerSize for Answer {
    fn answer_size(&self) -> usize {
        let pairs = self.headers.iter();
        let headers: usize = pairs
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

impl From<ErrorKind> for Refused {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: Duration::ZERO,
        }
    }
}

impl From<ErrorKind> for Verdict {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(Refused::from(kind))
    }
}
