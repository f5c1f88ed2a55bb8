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
    SkipHost,
    /// The attempt failed.
    Failed(Refused),
    /// No attempt is left to make.
    GiveUp(Refused),
}

/// What a call has been through.
pub(super) struct CallProgress {
    /// Hosts that were tried.
    pub(super) excluded: Vec<PeerKey>,
    /// Hosts to which nothing could be sent.
    unsent_hosts: u32,
    /// Retries made.
    pub(super) retries: u16,
    /// Whether an attempt may have run without its answer being known.
    in_doubt: bool,
    /// The last failure.
    pub(super) last_failure: Refused,
}

impl Default for CallProgress {
    fn default() -> Self {
        Self {
            excluded: Vec::new(),
            unsent_hosts: 0,
            retries: 0,
            in_doubt: false,
            last_failure: Refused::from(ErrorKind::NoTarget),
        }
    }
}

impl CallProgress {
    pub(super) fn record_failure(&mut self, failure: Refused) {
        self.in_doubt |= failure.outcome == Outcome::Unknown;
        self.last_failure = failure;
    }

    pub(super) fn skip_host(&mut self) -> Step {
        self.unsent_hosts += 1;
        match self.unsent_hosts < MAX_UNSENT_HOSTS {
            true => Step::SkipHost,
            false => Step::GiveUp(self.last_failure),
        }
    }

    /// The final failure as it may be told.
    ///
    /// A retry that was refused says nothing about the attempt before it: after an attempt whose answer was lost, "not run"
    /// would be untrue, seen as a call that the target counts and its caller was told did not run.
    pub(super) fn final_verdict(&self, refused: Refused) -> Verdict {
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
const MAX_UNSENT_HOSTS: u32 = 4;
