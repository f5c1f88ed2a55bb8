//! State of a call between its first attempt and its verdict.

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome;
use coltsfootport_core::routing::PeerKey;

use crate::data::{Answer, Refused, Verdict};

/// Result of choosing a host and making an attempt there.
pub(super) enum Step {
    /// The target answered.
    Answered(Answer),
    /// Nothing was sent to this host; the call may be sent to another one.
    SkipHost,
    /// The attempt failed.
    Failed(Refused),
    /// No further attempt is possible.
    GiveUp(Refused),
}

/// Attempts and failures of a call so far.
pub(super) struct CallProgress {
    /// Hosts already chosen, which are not chosen again.
    pub(super) excluded: Vec<PeerKey>,
    /// Number of hosts to which nothing could be sent.
    unsent_hosts: u32,
    /// Number of retries made.
    pub(super) retries: u16,
    /// Whether an attempt may have run although its answer is unknown.
    in_doubt: bool,
    /// The most recent failure.
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

    /// Returns the verdict for a call that ends with this refusal.
    ///
    /// The refusal of a retry gives no information about earlier attempts. If the answer of one of them was lost, "not
    /// run" would be wrong: calls counted by the target have been reported to their callers as not run.
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

/// Number of hosts to which nothing could be sent after which the call is given up.
const MAX_UNSENT_HOSTS: u32 = 4;
