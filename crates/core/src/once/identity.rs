//! What an entry may say of a call by itself.

use crate::error_kind::ErrorKind;
use crate::once::Try;
use crate::outcome::Outcome;

/// The identity of a call, in so far as its caller holds one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// No token: each arrival is a request of its own.
    None,
    /// A token, sent for the first time by its caller's own word.
    FirstTry,
    /// A token which may have been sent before.
    Repeat,
}

impl Identity {
    /// The identity of a call with or without a token, and the number of the try if the caller gave one.
    ///
    /// A token without a number counts as a repeat: nobody vouches that it wasn't sent before.
    pub fn of(has_token: bool, number: Option<Try>) -> Self {
        if !has_token {
            return Self::None;
        }
        if number == Some(Try::FIRST) {
            return Self::FirstTry;
        }
        Self::Repeat
    }

    /// The outcome to tell a caller where this entry itself ends the call with `kind` and no copy of it is under way.
    ///
    /// No copy is under way where the entry has sent nothing, or where each sending was answered by
    /// [`Arrival::Refused`](crate::once::Arrival::Refused).
    pub fn outcome_unsent(self, kind: ErrorKind) -> Outcome {
        match (self, kind.rule().outcome) {
            (Self::None, outcome) => outcome,
            (Self::FirstTry, _) => Outcome::NotRun,
            // Symptom: "not run" for a call that runs later. An earlier try may sit in a frozen entry and be sent on
            // after this answer, so only the home, which refuses that try from then on, can say "not run".
            (Self::Repeat, Outcome::NotRun) => Outcome::Unknown,
            (Self::Repeat, outcome) => outcome,
        }
    }

    /// Whether the system may send the call to another target after the first one refused it.
    ///
    /// A call with a token never moves: its caller could repeat the token at the first home, which says "not run" of a
    /// call that ran at the second.
    pub fn may_reroute(self) -> bool {
        self == Self::None
    }
}
