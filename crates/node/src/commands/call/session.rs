//! All attempts of one `call`.

use std::fmt;
use std::time::{Duration, Instant};

use coltsfootport_core::outcome::Outcome;
use tokio::time::sleep;

use crate::cli::{CallOptions, TokenChoice};

use super::answer::Answer;
use super::attempt;
use super::policy::{AttemptEnd, Credential, Next, Policy};
use super::request::CallRequest;

/// What became of a call.
#[derive(Debug)]
pub(super) struct Verdict {
    /// What is known about it.
    pub(super) outcome: Outcome,
    /// The answer to the last attempt, where it came whole.
    pub(super) answer: Option<Answer>,
    /// Sendings.
    pub(super) attempts: u32,
    /// The token with the number of its last sending, to go on from.
    pub(super) credential: Option<Credential>,
}

/// Sends a request until it needs no further attempt.
pub(super) struct Session<'a> {
    options: &'a CallOptions,
    request: CallRequest,
    deadline: Instant,
}

impl<'a> Session<'a> {
    /// The deadline is counted from here.
    pub(super) fn new(options: &'a CallOptions, request: CallRequest) -> Self {
        let deadline = Instant::now() + Duration::from_millis(options.deadline_ms);
        Self {
            options,
            request,
            deadline,
        }
    }

    /// Runs all attempts.
    pub(super) async fn run(&self) -> Verdict {
        let credential = match self.credential().await {
            Ok(credential) => credential,
            Err(answer) => {
                let outcome = Outcome::NotRun;
                return Verdict {
                    outcome,
                    answer,
                    attempts: 0,
                    credential: None,
                };
            }
        };
        let safe = self.request.is_safe();
        let mut policy = Policy::new(self.options.retries, safe, credential);
        let mut attempts = 0;
        loop {
            let credential = policy.credential().cloned();
            let end = self.attempt(credential.as_ref()).await;
            attempts += 1;
            let next = policy.after(&end, self.left(), rand::random());
            match next {
                Next::Stop(outcome) => {
                    return Verdict {
                        outcome,
                        answer: end.answer(),
                        attempts,
                        credential,
                    };
                }
                Next::Again(pause) => sleep(pause).await,
            }
        }
    }

    async fn credential(&self) -> Result<Option<Credential>, Option<Answer>> {
        let credential = match &self.options.token {
            None => return Ok(None),
            Some(TokenChoice::Given(token)) => Credential {
                token: token.clone(),
                sending: self.options.first_try,
            },
            Some(TokenChoice::Auto) => {
                let (addr, service) = (self.request.addr, &self.request.service);
                let token = attempt::token(addr, service, self.left()).await?;
                Credential { token, sending: 1 }
            }
        };
        Ok(Some(credential))
    }

    async fn attempt(&self, credential: Option<&Credential>) -> AttemptEnd {
        let left = self.left();
        attempt::send(
            self.request.addr,
            self.request.attempt(credential, left),
            left,
        )
        .await
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl fmt::Display for Verdict {
    /// One line for people and scripts.
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
            Some(Credential { token, sending }) => write!(f, " token={token} try={sending}"),
            None => Ok(()),
        }
    }
}
