//! Why admission refuses a call.

use crate::error_kind::ErrorKind;

/// A refusal, by its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Above the admission level.
    Level,
    /// The queue was full of calls that go first.
    Queue,
    /// Too little time even if it started at once.
    Deadline,
    /// Too little time for the wait and the service.
    Wait,
}

impl Refusal {
    /// The error that the caller is answered.
    pub(super) fn kind(self) -> ErrorKind {
        match self {
            Self::Level | Self::Queue => ErrorKind::Shed,
            Self::Deadline | Self::Wait => ErrorKind::DeadlineTooShort,
        }
    }
}
