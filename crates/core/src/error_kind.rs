//! Error kinds and the answer that a node gives for each of them.

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Reason for which a node answers a call with an error instead of forwarding the target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The request has a malformed header, path or framing.
    BadRequest,
    /// The service has no known document or instance.
    UnknownService,
    /// A body or header exceeds its size limit.
    TooLarge,
    /// The token is forged, malformed, sealed with a key that this node lacks, or issued for another service.
    BadToken,
    /// The token is older than the retention time of its home.
    TokenExpired,
    /// The request of the token ran, but its answer was too large to be stored for replay.
    AnswerGone,
    /// A non-idempotent operation was called with a plain key instead of a token.
    TokenRequired,
    /// The home of the token permanently refused this try.
    TokenRefused,
    /// The home of the token is gone, restarted, or became unreachable after the call may have been sent.
    HomeLost,
    /// Admission control rejected the call due to overload.
    Shed,
    /// The call can't finish within its remaining time.
    DeadlineTooShort,
    /// The deadline passed before the call was dispatched to a target.
    ExpiredBeforeDispatch,
    /// The deadline passed while a target was processing the call.
    ExpiredInFlight,
    /// The chosen node is shutting down and accepts no new work.
    Leaving,
    /// No target of the service is reachable, and the call was sent to none.
    NoTarget,
    /// The connection was lost after the call was sent and before its answer was complete.
    AnswerLost,
    /// The target closed its connection early or sent malformed HTTP.
    TargetFailed,
    /// An outgoing call of the target has a context that is not in flight at this node.
    UnknownContext,
    /// The caller disconnected before dispatch.
    Cancelled,
    /// The token table of the node is full.
    TableFull,
    /// The node has not yet received a document from the platform.
    NotReady,
}

/// Properties of the answer to an error, for the caller and for the hop that receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRule {
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the request ran, as reported to the caller.
    ///
    /// [`Outcome::NotRun`] applies to calls without a token, and to calls with a token if its home reports so. An entry
    /// that answers a call with a token on its own uses [`crate::once::Identity::outcome_unsent`] instead.
    pub outcome: Outcome,
    /// Whether the hop that receives this error may retry the call at another target, within the retry allowance.
    ///
    /// If `outcome` is [`Outcome::Unknown`], only idempotent calls are retried. A call with a token never moves to
    /// another target, regardless of this flag: see [`crate::once::Identity`].
    pub hop_may_retry: bool,
    /// Whether the answer tells the caller when to retry.
    pub retry_after: bool,
}

impl ErrorKind {
    /// All kinds, for tests and printed tables.
    pub const ALL: [Self; 21] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::TooLarge,
        Self::BadToken,
        Self::TokenExpired,
        Self::AnswerGone,
        Self::TokenRequired,
        Self::TokenRefused,
        Self::HomeLost,
        Self::Shed,
        Self::DeadlineTooShort,
        Self::ExpiredBeforeDispatch,
        Self::ExpiredInFlight,
        Self::Leaving,
        Self::NoTarget,
        Self::AnswerLost,
        Self::TargetFailed,
        Self::UnknownContext,
        Self::Cancelled,
        Self::TableFull,
        Self::NotReady,
    ];

    /// Returns the properties of the answer for this kind.
    pub const fn rule(self) -> AnswerRule {
        use Outcome::{NotRun, Ran, Unknown};
        match self {
            Self::BadRequest => answer_rule(400, NotRun, false, false),
            Self::UnknownService => answer_rule(404, NotRun, false, false),
            Self::TooLarge => answer_rule(413, NotRun, false, false),
            // Without a rotated key, a node can't distinguish a forged token from one that ran elsewhere. A token of
            // another service may have run there. `NotRun` could therefore be wrong.
            Self::BadToken => answer_rule(403, Unknown, false, false),
            Self::TokenExpired => answer_rule(410, Unknown, false, false),
            Self::AnswerGone => answer_rule(410, Ran, false, false),
            Self::TokenRequired => answer_rule(428, NotRun, false, false),
            Self::TokenRefused => answer_rule(409, NotRun, false, false),
            Self::HomeLost => answer_rule(503, Unknown, false, false),
            Self::Shed => answer_rule(503, NotRun, true, true),
            Self::DeadlineTooShort => answer_rule(504, NotRun, false, true),
            Self::ExpiredBeforeDispatch => answer_rule(504, NotRun, false, true),
            Self::ExpiredInFlight => answer_rule(504, Unknown, false, true),
            Self::Leaving => answer_rule(503, NotRun, true, true),
            Self::NoTarget => answer_rule(503, NotRun, true, true),
            Self::AnswerLost => answer_rule(502, Unknown, true, false),
            Self::TargetFailed => answer_rule(502, Unknown, true, false),
            Self::UnknownContext => answer_rule(409, NotRun, false, false),
            Self::Cancelled => answer_rule(499, NotRun, false, false),
            Self::TableFull => answer_rule(503, NotRun, true, true),
            Self::NotReady => answer_rule(503, NotRun, true, true),
        }
    }

    /// Returns the value of the `coltsfootport-error` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::TooLarge => "too-large",
            Self::BadToken => "bad-token",
            Self::TokenExpired => "token-expired",
            Self::AnswerGone => "answer-gone",
            Self::TokenRequired => "token-required",
            Self::TokenRefused => "token-refused",
            Self::HomeLost => "home-lost",
            Self::Shed => "shed",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::ExpiredBeforeDispatch => "expired-before-dispatch",
            Self::ExpiredInFlight => "expired-in-flight",
            Self::Leaving => "leaving",
            Self::NoTarget => "no-target",
            Self::AnswerLost => "answer-lost",
            Self::TargetFailed => "target-failed",
            Self::UnknownContext => "unknown-context",
            Self::Cancelled => "cancelled",
            Self::TableFull => "table-full",
            Self::NotReady => "not-ready",
        }
    }
}

const fn answer_rule(
    status: u16,
    outcome: Outcome,
    hop_may_retry: bool,
    retry_after: bool,
) -> AnswerRule {
    AnswerRule {
        status,
        outcome,
        hop_may_retry,
        retry_after,
    }
}
