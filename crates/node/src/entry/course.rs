//! What a call goes through until it has an answer or is given up.

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome;
use coltsfootport_core::routing::PeerKey;

use crate::data::{Answer, Refused, Verdict};

/// What came of choosing a host and trying it.
pub(super) enum Step {
    /// The target answered.
    Answered(Answer),
    /// Nothing was sent to this host; another may do.
    PassOver,
    /// The attempt failed.
    Failed(Refused),
    /// No attempt is left to make.
    GiveUp(Refused),
}

/// What a call has been through.
pub(super) struct Course {
    /// Hosts that were tried.
    pub(super) excluded: Vec<PeerKey>,
    /// Hosts to which nothing could be sent.
    unsent: u32,
    /// Retries made.
    pub(super) retries: u16,
    /// Whether an attempt may have run without its answer being known.
    in_doubt: bool,
    /// The last failure.
    pub(super) last: Refused,
}

impl Default for Course {
    fn default() -> Self {
        Self {
            excluded: Vec::new(),
            unsent: 0,
            retries: 0,
            in_doubt: false,
            last: Refused::from(ErrorKind::NoTarget),
        }
    }
}

impl Course {
    pub(super) fn note(&mut self, failure: Refused) {
        self.in_doubt |= failure.outcome == Outcome::Unknown;
        self.last = failure;
    }

    pub(super) fn pass_over(&mut self) -> Step {
        self.unsent += 1;
        match self.unsent < MOST_UNSENT {
            true => Step::PassOver,
            false => Step::GiveUp(self.last),
        }
    }

    /// The final failure as it may be told.
    ///
    /// A retry that was refused says nothing about the attempt before it: after an attempt whose answer was lost, "not run"
    /// would be untrue, seen as a call that the target counts and its caller was told did not run.
    pub(super) fn conclude(&self, refused: Refused) -> Verdict {
        if self.in_doubt && refused.outcome == Outcome::NotRun {
            return Verdict::from(ErrorKind::AnswerLost);
        }
        Verdict::Refused(refused.with_default_retry_after())
    }
}

impl From<Verdict> for Step {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Answered(answer) => Self::Answered(answer),
            Verdict::Refused(refused) => Self::Failed(refused),
        }
    }
}

/// Hosts that are passed over because nothing could be sent to them, before the call is given up.
const MOST_UNSENT: u32 = 4;
