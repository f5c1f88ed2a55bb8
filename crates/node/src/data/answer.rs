//! Verdict on a call.

use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::once::{AnswerSize, Identity};
use coltsfootport_core::outcome::Outcome;
use http::{HeaderMap, StatusCode};
use rand::Rng;

/// Complete answer of a target.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether the answer was stored at an earlier try of the same token.
    pub replayed: bool,
}

/// Refusal made by a node in place of an answer of the target.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Reason of the refusal.
    pub kind: ErrorKind,
    /// Delay after which the caller may retry; zero if none was set.
    pub retry_after: Duration,
    /// What is known about whether the call ran. Defaults to the outcome that the kind stands for; an entry sets
    /// another one if it knows more or less.
    pub outcome: Outcome,
}

/// Final result of a call or of one attempt at it.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The target answered.
    Answered(Answer),
    /// A node refused the call or gave it up.
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

impl Refused {
    /// Creates a refusal with the outcome that its kind stands for.
    pub fn new(kind: ErrorKind, retry_after: Duration) -> Self {
        let outcome = kind.rule().outcome;
        Self {
            kind,
            retry_after,
            outcome,
        }
    }

    /// Creates the refusal of a call of which this entry has sent nothing.
    pub fn unsent(kind: ErrorKind, identity: Identity) -> Self {
        Self {
            outcome: identity.outcome_unsent(kind),
            ..Self::new(kind, jitter(DEFAULT_RETRY_AFTER))
        }
    }

    /// Sets a default retry delay if none is set.
    pub fn with_default_retry_after(self) -> Self {
        if !self.retry_after.is_zero() {
            return self;
        }
        Self {
            retry_after: jitter(DEFAULT_RETRY_AFTER),
            ..self
        }
    }
}

/// Varies a delay by up to half, so that callers refused at the same time don't retry at the same time.
fn jitter(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Mean retry delay for refusals that have none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl From<ErrorKind> for Refused {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, Duration::ZERO)
    }
}

impl From<ErrorKind> for Verdict {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(Refused::from(kind))
    }
}
