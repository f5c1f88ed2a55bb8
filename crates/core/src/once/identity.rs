//! Outcomes that an entry may report for a call without asking the home.

use crate::error_kind::ErrorKind;
use crate::once::Try;
use crate::outcome::Outcome;

/// Whether a call carries a token, and whether that token may have been sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// No token: each arrival is a separate request.
    None,
    /// A token that its caller declares to be sent for the first time.
    FirstTry,
    /// A token that may have been sent before.
    Repeat,
}

impl Identity {
    /// Determines the identity from the presence of a token and the try number, if the caller gave one.
    ///
    /// A token without a number counts as a repeat, as it may have been sent before.
    pub fn of(has_token: bool, number: Option<Try>) -> Self {
        if !has_token {
            return Self::None;
        }
        if number == Some(Try::FIRST) {
            return Self::FirstTry;
        }
        Self::Repeat
    }

    /// Returns the outcome to report if this entry fails the call with `kind` and has no copy of it in transit.
    ///
    /// This is the case if the entry has sent nothing, or if each attempt was answered by
    /// [`Arrival::Refused`](crate::once::Arrival::Refused).
    pub fn outcome_unsent(self, kind: ErrorKind) -> Outcome {
        match (self, kind.rule().outcome) {
            (Self::None, outcome) => outcome,
            (Self::FirstTry, _) => Outcome::NotRun,
            // An earlier try may still be buffered in a suspended entry and be forwarded after this answer. Only the
            // home can refuse that try permanently, so only the home may report "not run".
            (Self::Repeat, Outcome::NotRun) => Outcome::Unknown,
            (Self::Repeat, outcome) => outcome,
        }
    }

    /// Returns whether the call may be sent to another target after the first one refused it.
    ///
    /// A call with a token must not be rerouted: if its caller repeated the token at the first home, that home would
    /// report "not run" for a call that ran at the second.
    pub fn may_reroute(self) -> bool {
        self == Self::None
    }
}
