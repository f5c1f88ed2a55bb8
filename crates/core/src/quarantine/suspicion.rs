//! Suspicion level of a request.

/// How strongly a request is suspected of crashing targets, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspicionLevel {
    /// No crashes count against the request.
    #[default]
    Unsuspected,
    /// A target has crashed while running the request, possibly because of another request running there.
    Suspected,
    /// Several targets have crashed while running the request. It runs only at a target without other isolated
    /// requests.
    Isolated,
    /// The request is not sent to any target.
    Refused,
}

impl SuspicionLevel {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unsuspected => "unsuspected",
            Self::Suspected => "suspected",
            Self::Isolated => "isolated",
            Self::Refused => "refused",
        }
    }
}
