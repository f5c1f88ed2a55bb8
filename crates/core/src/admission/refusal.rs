//! Reasons for refusing a call.

use crate::error_kind::ErrorKind;

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The call is above the admission level.
    Level,
    /// The queue was full of calls that rank before this one.
    Queue,
    /// The time left is shorter than the estimated service time.
    Deadline,
    /// The time left is shorter than the estimated queueing and service time.
    Wait,
}

impl Refusal {
    /// Returns the error reported to the caller.
    pub(super) fn kind(self) -> ErrorKind {
        match self {
            Self::Level | Self::Queue => ErrorKind::Shed,
            Self::Deadline | Self::Wait => ErrorKind::DeadlineTooShort,
        }
    }
}
