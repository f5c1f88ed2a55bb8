//! Responses that a node sends in place of a target, with their status codes.

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Reason why a node answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The request violates HTTP.
    BadRequest,
    /// The head of the request exceeds its size limit.
    HeaderTooLarge,
    /// The body of the request exceeds its size limit.
    BodyTooLarge,
    /// The head was not received completely within its timeout.
    HeaderTimeout,
    /// No route of the active configuration matches.
    NoRoute,
    /// The node has no configuration, or no route matches but its configuration may be outdated.
    NoConfig,
    /// The active configuration is up to date and has no workspace with the key of the request.
    UnknownKey,
    /// The key is unknown, but the configuration of the node may be outdated.
    UnverifiedKey,
    /// A call made during a run that this node does not know, so its workspace can't be determined.
    UnknownRun,
    /// The workspace has exhausted its quota.
    OverQuota,
    /// No instance of the service is known or reachable.
    NoInstance,
    /// Shed at the entry node because a service downstream is overloaded.
    Shed,
    /// The expected wait in the host's queue is too long.
    Busy,
    /// The host is shutting down.
    Stopping,
    /// The target refused the request without running it.
    TargetRefused,
    /// The address belongs to another instance now.
    WrongInstance,
    /// The deadline passed before the request was sent to a target.
    ExpiredUnsent,
    /// The deadline passed after the request may have started to run.
    Expired,
    /// The connection was lost after the request may have reached the target.
    Lost,
    /// The target violated HTTP or truncated its response.
    BrokenAnswer,
    /// Targets have crashed each time they ran a similar request.
    CrashesTargets,
    /// Similar requests have crashed targets, so they run one at a time, and too many are waiting.
    Isolated,
    /// The request body ended before it was complete.
    CallerGone,
    /// The body stopped coming, and no part of it was passed on.
    BodyTimeout,
    /// The entry node holds too much for other requests.
    NoMemory,
}

/// How a refusal is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalRule {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// Whether the caller is told when to retry.
    pub retry_after: bool,
}

impl Refusal {
    /// All refusals, for tests and printed tables.
    pub const ALL: [Self; 25] = [
        Self::BadRequest,
        Self::HeaderTooLarge,
        Self::BodyTooLarge,
        Self::HeaderTimeout,
        Self::NoRoute,
        Self::NoConfig,
        Self::UnknownKey,
        Self::UnverifiedKey,
        Self::UnknownRun,
        Self::OverQuota,
        Self::NoInstance,
        Self::Shed,
        Self::Busy,
        Self::Stopping,
        Self::TargetRefused,
        Self::WrongInstance,
        Self::ExpiredUnsent,
        Self::Expired,
        Self::Lost,
        Self::BrokenAnswer,
        Self::CrashesTargets,
        Self::Isolated,
        Self::CallerGone,
        Self::BodyTimeout,
        Self::NoMemory,
    ];

    /// How this refusal is reported to the caller.
    pub const fn rule(self) -> RefusalRule {
        use Outcome::{NotRun, Unknown};
        match self {
            Self::BadRequest => row(400, NotRun, false),
            Self::HeaderTooLarge => row(431, NotRun, false),
            Self::BodyTooLarge => row(413, NotRun, false),
            Self::HeaderTimeout | Self::BodyTimeout => row(408, NotRun, false),
            Self::NoRoute => row(404, NotRun, false),
            Self::UnknownKey => row(401, NotRun, false),
            Self::OverQuota => row(429, NotRun, true),
            Self::UnverifiedKey | Self::UnknownRun => row(503, NotRun, true),
            Self::NoConfig | Self::NoInstance | Self::Shed | Self::Busy => row(503, NotRun, true),
            Self::NoMemory => row(503, NotRun, true),
            Self::Stopping | Self::TargetRefused | Self::WrongInstance => row(503, NotRun, true),
            // The route's timeout has expired, but the caller may have time left to retry.
            Self::ExpiredUnsent => row(503, NotRun, true),
            Self::Expired => row(504, Unknown, false),
            Self::Lost | Self::BrokenAnswer => row(502, Unknown, false),
            // Not retryable, as a retry would crash the next target. An earlier attempt may have run.
            Self::CrashesTargets => row(400, Unknown, false),
            Self::Isolated => row(503, NotRun, true),
            Self::CallerGone => row(400, NotRun, false),
        }
    }

    /// Name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::HeaderTooLarge => "header-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::HeaderTimeout => "header-timeout",
            Self::NoRoute => "no-route",
            Self::NoConfig => "no-config",
            Self::UnknownKey => "unknown-key",
            Self::UnverifiedKey => "unverified-key",
            Self::UnknownRun => "unknown-run",
            Self::OverQuota => "over-quota",
            Self::NoInstance => "no-instance",
            Self::Shed => "shed",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::TargetRefused => "target-refused",
            Self::WrongInstance => "wrong-instance",
            Self::ExpiredUnsent => "expired-unsent",
            Self::Expired => "expired",
            Self::Lost => "lost",
            Self::BrokenAnswer => "broken-answer",
            Self::CrashesTargets => "crashes-targets",
            Self::Isolated => "isolated",
            Self::CallerGone => "caller-gone",
            Self::BodyTimeout => "body-timeout",
            Self::NoMemory => "no-memory",
        }
    }

    /// Returns `true` if the request certainly did not run, so that it can be sent to another target.
    pub const fn is_not_run(self) -> bool {
        matches!(self.rule().outcome, Outcome::NotRun)
    }
}

const fn row(status: u16, outcome: Outcome, retry_after: bool) -> RefusalRule {
    RefusalRule {
        status,
        outcome,
        retry_after,
    }
}
