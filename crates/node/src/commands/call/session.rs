//! Runs all attempts of one `call`.

use std::fmt;
use std::time::{Duration, Instant};

use coltsfootport_core::outcome::Outcome;
use tokio::time::sleep;

use crate::cli::{CallOptions, TokenSource};

use super::answer::Answer;
use super::attempt;
use super::policy::{AttemptResult, Credential, NextStep, RetryPolicy};
use super::request::CallRequest;

/// Final result of a call.
#[derive(Debug)]
pub(super) struct CallResult {
    /// Whether the call ran.
    pub(super) outcome: Outcome,
    /// Answer to the last attempt, if it was received completely.
    pub(super) answer: Option<Answer>,
    /// Number of attempts made.
    pub(super) attempts: u32,
    /// Token with its last try number, from which the caller can continue.
    pub(super) credential: Option<Credential>,
}

/// Sends a request until the retry policy stops.
pub(super) struct Session<'a> {
    options: &'a CallOptions,
    request: CallRequest,
    deadline: Instant,
}

impl<'a> Session<'a> {
    /// Creates a session; the deadline is measured from this point.
    pub(super) fn new(options: &'a CallOptions, request: CallRequest) -> Self {
        let deadline = Instant::now() + Duration::from_millis(options.deadline_ms);
        Self {
            options,
            request,
            deadline,
        }
    }

    /// Runs all attempts and returns the final result.
    pub(super) async fn run(&self) -> CallResult {
        let credential = match self.credential().await {
            Ok(credential) => credential,
            Err(answer) => {
                let outcome = Outcome::NotRun;
                return CallResult {
                    outcome,
                    answer,
                    attempts: 0,
                    credential: None,
                };
            }
        };
        let safe = self.request.is_safe();
        let mut policy = RetryPolicy::new(self.options.retries, safe, credential);
        let mut attempts = 0;
        loop {
            let credential = policy.credential().cloned();
            let result = self.attempt(credential.as_ref()).await;
            attempts += 1;
            let next = policy.next_step(&result, self.time_left(), rand::random());
            match next {
                NextStep::Stop(outcome) => {
                    return CallResult {
                        outcome,
                        answer: result.into_answer(),
                        attempts,
                        credential,
                    };
                }
                NextStep::Retry(backoff) => sleep(backoff).await,
            }
        }
    }

    async fn credential(&self) -> Result<Option<Credential>, Option<Answer>> {
        let credential = match &self.options.token {
            None => return Ok(None),
            Some(TokenSource::Given(token)) => Credential {
                token: token.clone(),
                try_number: self.options.first_try,
            },
            Some(TokenSource::Auto) => {
                let (addr, service) = (self.request.addr, &self.request.service);
                let token = attempt::request_token(addr, service, self.time_left()).await?;
                Credential {
                    token,
                    try_number: 1,
                }
            }
        };
        Ok(Some(credential))
    }

    async fn attempt(&self, credential: Option<&Credential>) -> AttemptResult {
        let time_left = self.time_left();
        attempt::send(
            self.request.addr,
            self.request.build_attempt(credential, time_left),
            time_left,
        )
        .await
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl fmt::Display for CallResult {
    /// Formats the result as one line of `key=value` pairs that scripts can parse.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "outcome={} attempts={}", self.outcome, self.attempts)?;
        if let Some(answer) = &self.answer {
            write!(f, " status={}", answer.status)?;
            if let Some(request) = &answer.request {
                write!(f, " request={request}")?;
            }
            if let Some(error) = answer.error {
                write!(f, " error={}", error.as_str())?;
            }
            if let Some(after) = answer.retry_after {
                write!(f, " retry-after-ms={}", after.as_millis())?;
            }
        }
        match &self.credential {
            Some(Credential { token, try_number }) => write!(f, " token={token} try={try_number}"),
            None => Ok(()),
        }
    }
}
