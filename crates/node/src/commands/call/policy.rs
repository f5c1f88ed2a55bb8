//! Retry policy of `call`.

use std::time::Duration;

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome;

use super::answer::Answer;

/// Backoff before the second attempt if the answer requested none; doubled for each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Idempotency token of a call with the number of its next try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// The idempotency token.
    pub token: String,
    /// Try number of the token, starting at 1; sent as `coltsfootport-try`.
    pub try_number: u32,
}

/// Result of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete answer was received.
    Answered(Answer),
    /// The request was not sent.
    NotSent,
    /// The request may have been sent, but no complete answer was received.
    Lost,
}

impl AttemptResult {
    /// Returns the complete answer, if one was received.
    pub fn into_answer(self) -> Option<Answer> {
        match self {
            Self::Answered(answer) => Some(answer),
            Self::NotSent | Self::Lost => None,
        }
    }
}

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Finish the call with this outcome.
    Stop(Outcome),
    /// Retry after this delay.
    Retry(Duration),
}

/// Decides whether to retry, and tracks whether any earlier attempt may have run.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    retries_left: u32,
    doublings: u32,
    safe_method: bool,
    may_have_run: MayHaveRun,
    credential: Option<Credential>,
}

/// Whether earlier attempts with an unknown outcome may have run.
#[derive(Clone, Copy, Debug, Default)]
struct MayHaveRun {
    /// An attempt that carried the current token.
    with_token: bool,
    /// An attempt that carried no token.
    without_token: bool,
}

impl RetryPolicy {
    /// Creates a policy that allows at most `retries` retries.
    ///
    /// `safe_method` states that running the request twice does no harm.
    pub fn new(retries: u32, safe_method: bool, credential: Option<Credential>) -> Self {
        // The outcome of tries with this token before this process started is unknown as well.
        let sent_before = credential
            .as_ref()
            .is_some_and(|credential| credential.try_number > 1);
        let may_have_run = MayHaveRun {
            with_token: sent_before,
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

    /// Returns the token and try number for the next attempt.
    pub fn credential(&self) -> Option<&Credential> {
        self.credential.as_ref()
    }

    /// Returns the next step after an attempt with `time_left` until the deadline; `jitter` is a random number between 0
    /// and 1.
    pub fn next_step(
        &mut self,
        result: &AttemptResult,
        time_left: Duration,
        jitter: f64,
    ) -> NextStep {
        let outcome = self.update_outcome(result);
        if outcome == Outcome::Ran || !self.may_retry(result) {
            return NextStep::Stop(outcome);
        }
        let backoff = self.backoff(result, jitter);
        if self.retries_left == 0 || backoff >= time_left {
            return NextStep::Stop(outcome);
        }
        self.retries_left -= 1;
        self.update_credential(result);
        NextStep::Retry(backoff)
    }

    /// Returns the outcome of the call as known after this and all earlier attempts.
    fn update_outcome(&mut self, result: &AttemptResult) -> Outcome {
        let reported = match result {
            AttemptResult::Answered(answer) => answer.outcome.unwrap_or(Outcome::Unknown),
            AttemptResult::NotSent => Outcome::NotRun,
            AttemptResult::Lost => Outcome::Unknown,
        };
        // A lost attempt may still run. Without a token, a later `not-run` only covers that later attempt: if it were
        // taken as the outcome of the whole call, a broker would be told that no bid was placed although one was. With
        // a token, the home node rejects every try up to the one that it answered, so its `not-run` covers the lost
        // tries as well.
        let has_token = self.credential.is_some();
        let answered = matches!(result, AttemptResult::Answered(_));
        match reported {
            Outcome::Ran => return Outcome::Ran,
            Outcome::NotRun if has_token && answered => self.may_have_run.with_token = false,
            Outcome::NotRun => {}
            Outcome::Unknown if has_token => self.may_have_run.with_token = true,
            Outcome::Unknown => self.may_have_run.without_token = true,
        }
        match self.may_have_run {
            MayHaveRun {
                with_token: false,
                without_token: false,
            } => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    fn may_retry(&self, result: &AttemptResult) -> bool {
        let repeatable = self.safe_method || self.credential.is_some();
        match result {
            AttemptResult::NotSent => true,
            AttemptResult::Lost => repeatable,
            AttemptResult::Answered(answer) => match answer.outcome {
                Some(Outcome::Ran) => false,
                Some(Outcome::NotRun) => {
                    answer.retry_after.is_some() || answer.fresh_token.is_some()
                }
                Some(Outcome::Unknown) => {
                    repeatable && answer.error != Some(ErrorKind::TokenExpired)
                }
                None => false,
            },
        }
    }

    /// Returns the delay requested by the answer, or an exponential backoff. Both are extended by random jitter so that
    /// callers whose attempts failed at the same time don't retry at the same time.
    ///
    /// There is no delay if the request did not run and the answer carries a replacement token.
    fn backoff(&mut self, result: &AttemptResult, jitter: f64) -> Duration {
        if let AttemptResult::Answered(answer) = result {
            if let Some(requested) = answer.retry_after {
                return requested.mul_f64(1.0 + jitter / 10.0);
            }
            if answer.outcome == Some(Outcome::NotRun) && answer.fresh_token.is_some() {
                return Duration::ZERO;
            }
        }
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        backoff.mul_f64(1.0 + jitter)
    }

    /// Switches to the replacement token of the answer, or else advances the try number.
    fn update_credential(&mut self, result: &AttemptResult) {
        let fresh = match result {
            AttemptResult::Answered(answer) if answer.outcome == Some(Outcome::NotRun) => {
                answer.fresh_token.clone()
            }
            _ => None,
        };
        match (fresh, &mut self.credential) {
            (Some(token), credential) => {
                *credential = Some(Credential {
                    token,
                    try_number: 1,
                })
            }
            (None, Some(credential)) => {
                credential.try_number = credential.try_number.saturating_add(1)
            }
            (None, None) => {}
        }
    }
}
