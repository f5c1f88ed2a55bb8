//! What follows an attempt of `call`.

use std::time::Duration;

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome;

use super::answer::Answer;

/// Wait before the second try, where the answer asked for none; doubled at each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Doublings of the wait at most.
const MAX_DOUBLINGS: u32 = 6;

/// The token of a call and the number of its next sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// The idempotency token.
    pub token: String,
    /// Number of the sending, from 1.
    pub sending: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came.
    Answered(Answer),
    /// Nothing was sent.
    NotSent,
    /// Something may have been sent and no whole answer came.
    Lost,
}

impl AttemptEnd {
    /// The whole answer, where one came.
    pub fn answer(self) -> Option<Answer> {
        match self {
            Self::Answered(answer) => Some(answer),
            Self::NotSent | Self::Lost => None,
        }
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The call is over, and this is known about it.
    Stop(Outcome),
    /// Send again after this time.
    Again(Duration),
}

/// Decides on further attempts, and keeps account of what may have run.
#[derive(Clone, Debug)]
pub struct Policy {
    retries_left: u32,
    doublings: u32,
    safe_method: bool,
    may_have_run: MayHaveRun,
    credential: Option<Credential>,
}

/// Earlier attempts whose fate is open.
#[derive(Clone, Copy, Debug, Default)]
struct MayHaveRun {
    /// Attempts that carried the present token.
    under_token: bool,
    /// Attempts that carried none.
    without_token: bool,
}

impl Policy {
    /// A policy for a call that is sent again at most `retries` times.
    ///
    /// A method is safe where a second run does no harm.
    pub fn new(retries: u32, safe_method: bool, credential: Option<Credential>) -> Self {
        // Sendings of a given token before this process are open too.
        let sent_before = credential
            .as_ref()
            .is_some_and(|credential| credential.sending > 1);
        let may_have_run = MayHaveRun {
            under_token: sent_before,
            without_token: false,
        };
        Self {
            retries_left: retries,
            doublings: 0,
            safe_method,
            may_have_run,
            credential,
        }
    }

    /// What the next attempt has to carry.
    pub fn credential(&self) -> Option<&Credential> {
        self.credential.as_ref()
    }

    /// Decides after an attempt with `left` time left; `jitter` is random in 0 to 1.
    pub fn after(&mut self, end: &AttemptEnd, left: Duration, jitter: f64) -> Next {
        let outcome = self.outcome(end);
        if outcome == Outcome::Ran || !self.may_send_again(end) {
            return Next::Stop(outcome);
        }
        let pause = self.pause(end, jitter);
        if self.retries_left == 0 || pause >= left {
            return Next::Stop(outcome);
        }
        self.retries_left -= 1;
        self.renew(end);
        Next::Again(pause)
    }

    /// What is known about the call after this attempt and all before it.
    fn outcome(&mut self, end: &AttemptEnd) -> Outcome {
        let said = match end {
            AttemptEnd::Answered(answer) => answer.outcome.unwrap_or(Outcome::Unknown),
            AttemptEnd::NotSent => Outcome::NotRun,
            AttemptEnd::Lost => Outcome::Unknown,
        };
        // A lost attempt may still run. Without a token, a later `not-run` speaks of the later attempt alone; taken for
        // the whole call it would tell a broker that no bid stands while one does. With a token, the home refuses
        // every sending up to the one that it answered, so its `not-run` covers the lost ones too.
        let under_token = self.credential.is_some();
        let answered = matches!(end, AttemptEnd::Answered(_));
        match said {
            Outcome::Ran => return Outcome::Ran,
            Outcome::NotRun if under_token && answered => self.may_have_run.under_token = false,
            Outcome::NotRun => {}
            Outcome::Unknown if under_token => self.may_have_run.under_token = true,
            Outcome::Unknown => self.may_have_run.without_token = true,
        }
        match self.may_have_run {
            MayHaveRun {
                under_token: false,
                without_token: false,
            } => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    fn may_send_again(&self, end: &AttemptEnd) -> bool {
        let harmless = self.safe_method || self.credential.is_some();
        match end {
            AttemptEnd::NotSent => true,
            AttemptEnd::Lost => harmless,
            AttemptEnd::Answered(answer) => match answer.outcome {
                Some(Outcome::Ran) => false,
                Some(Outcome::NotRun) => {
                    answer.retry_after.is_some() || answer.fresh_token.is_some()
                }
                Some(Outcome::Unknown) => harmless && answer.error != Some(ErrorKind::TokenExpired),
                None => false,
            },
        }
    }

    /// The wait that the answer asked for, or else a growing one; each lengthened by chance so that callers whose
    /// attempts failed together don't come back together.
    fn pause(&mut self, end: &AttemptEnd, jitter: f64) -> Duration {
        if let AttemptEnd::Answered(answer) = end {
            if let Some(asked) = answer.retry_after {
                return asked.mul_f64(1.0 + jitter / 10.0);
            }
            if answer.outcome == Some(Outcome::NotRun) && answer.fresh_token.is_some() {
                return Duration::ZERO;
            }
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        pause.mul_f64(1.0 + jitter)
    }

    fn renew(&mut self, end: &AttemptEnd) {
        let fresh = match end {
            AttemptEnd::Answered(answer) if answer.outcome == Some(Outcome::NotRun) => {
                answer.fresh_token.clone()
            }
            _ => None,
        };
        match (fresh, &mut self.credential) {
            (Some(token), credential) => *credential = Some(Credential { token, sending: 1 }),
            (None, Some(credential)) => credential.sending = credential.sending.saturating_add(1),
            (None, None) => {}
        }
    }
}
