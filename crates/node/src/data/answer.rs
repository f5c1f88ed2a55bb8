//! What came of a call.

use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::once::{AnswerSize, Identity};
use coltsfootport_core::outcome::Outcome;
use http::{HeaderMap, StatusCode};
use rand::Rng;

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
    /// What may be said of whether the call ran; the kind's own word unless an entry knows more or less.
    pub outcome: Outcome,
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

impl Refused {
    /// A refusal with the outcome that its kind stands for.
    pub fn new(kind: ErrorKind, retry_after: Duration) -> Self {
        let outcome = kind.rule().outcome;
        Self {
            kind,
            retry_after,
            outcome,
        }
    }

    /// The end of a call of which this entry has sent nothing.
    pub fn unsent(kind: ErrorKind, identity: Identity) -> Self {
        Self {
            outcome: identity.outcome_unsent(kind),
            ..Self::new(kind, jitter(DEFAULT_RETRY_AFTER))
        }
    }

    /// The same with a time to come back, where no host named one.
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

/// Callers that are refused together must not come back together.
fn jitter(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// When a caller may come back where no host said so.
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
