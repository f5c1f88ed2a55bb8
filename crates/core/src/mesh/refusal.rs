//! The closed list of answers that a node gives in place of a target, and their table.

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Why a node answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The request breaks HTTP.
    BadRequest,
    /// The head of the request is above its limit.
    HeaderTooLarge,
    /// The body of the request is above its limit.
    BodyTooLarge,
    /// The head did not arrive whole in time.
    HeaderTimeout,
    /// No route of the configuration in force fits.
    NoRoute,
    /// The node has no configuration, or may hold an outdated one that lacks the route.
    NoConfig,
    /// The configuration in force, which is fresh, knows no workspace with the request's key.
    UnknownKey,
    /// The key is not known, but the node may hold an outdated configuration that lacks it.
    UnverifiedKey,
    /// A call of a run that this node does not know, so that nobody can say for which workspace it is.
    UnknownRun,
    /// The workspace has used its quota.
    OverQuota,
    /// No instance of the service is known or can be reached.
    NoInstance,
    /// Shed at the entry since a service on the way is overloaded.
    Shed,
    /// The host's queue is too long for the time that is left.
    Busy,
    /// The host is about to stop.
    Stopping,
    /// The target turned the request away without running it.
    TargetRefused,
    /// Another instance has the address now.
    WrongInstance,
    /// The time ran out before the request was sent to a target.
    ExpiredUnsent,
    /// The time ran out while the request may have been at work.
    Expired,
    /// Contact was lost after the request may have reached the target.
    Lost,
    /// The target broke HTTP or cut its answer short.
    BrokenAnswer,
    /// Targets have crashed each time they ran such a request.
    CrashesTargets,
    /// Such requests have crashed targets; others of them run one at a time, and too many wait.
    Isolated,
    /// The body of the request ended early.
    CallerGone,
}

/// What a refusal means for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalRule {
    /// HTTP status.
    pub status: u16,
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Whether the caller is told when to come back.
    pub retry_after: bool,
}

impl Refusal {
    /// Every refusal, for tests and printed tables.
    pub const ALL: [Self; 23] = [
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
    ];

    /// The row of the answer table.
    pub const fn rule(self) -> RefusalRule {
        use Outcome::{NotRun, Unknown};
        match self {
            Self::BadRequest => row(400, NotRun, false),
            Self::HeaderTooLarge => row(431, NotRun, false),
            Self::BodyTooLarge => row(413, NotRun, false),
            Self::HeaderTimeout => row(408, NotRun, false),
            Self::NoRoute => row(404, NotRun, false),
            Self::UnknownKey => row(401, NotRun, false),
            Self::OverQuota => row(429, NotRun, true),
            Self::UnverifiedKey | Self::UnknownRun => row(503, NotRun, true),
            Self::NoConfig | Self::NoInstance | Self::Shed | Self::Busy => row(503, NotRun, true),
            Self::Stopping | Self::TargetRefused | Self::WrongInstance => row(503, NotRun, true),
            // The route's time is over, but not always that of the caller, which may send it again.
            Self::ExpiredUnsent => row(503, NotRun, true),
            Self::Expired => row(504, Unknown, false),
            Self::Lost | Self::BrokenAnswer => row(502, Unknown, false),
            // Final: sent again it would end the next target. An attempt of it may have run.
            Self::CrashesTargets => row(400, Unknown, false),
            Self::Isolated => row(503, NotRun, true),
            Self::CallerGone => row(400, NotRun, false),
        }
    }

    /// Word for logs and metrics.
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
        }
    }

    /// Whether the request certainly did not run, so that it may be sent to another target.
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
