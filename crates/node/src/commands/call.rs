//! `call`: sends one request through a node and retries it only if a retry is safe and the answer allows it.

mod answer;
mod attempt;
mod policy;
mod request;
mod session;

pub use answer::Answer;
pub use policy::{AttemptResult, Credential, NextStep, RetryPolicy};
pub use request::{CallRequest, CallRequestError};

use coltsfootport_core::outcome::Outcome;

use crate::cli::CallOptions;
use crate::exit::Exit;

use super::output;
use super::runtime::block_on;
use session::{CallResult, Session};

/// Sends the request, prints the answer body to standard output and reports on standard error whether the request ran.
pub fn run(options: &CallOptions) -> Exit {
    let request = match CallRequest::try_from(options) {
        Ok(request) => request,
        Err(err) => {
            eprintln!("coltsfootport: call: {err}");
            return Exit::Usage;
        }
    };
    block_on(async { report(&Session::new(options, request).run().await) })
}

fn report(result: &CallResult) -> Exit {
    eprintln!("{result}");
    let body = result
        .answer
        .as_ref()
        .map_or(&[][..], |answer| &answer.body);
    if let Err(err) = output::write(body) {
        // Keep the exit code of the outcome: it matters more to scripts than the lost output.
        eprintln!("coltsfootport: failed to write to standard output: {err}");
    }
    let is_error = result
        .answer
        .as_ref()
        .is_some_and(|answer| answer.status >= 400);
    match result.outcome {
        Outcome::Ran if is_error => Exit::RanWithError,
        Outcome::Ran => Exit::Ok,
        Outcome::NotRun => Exit::NotRun,
        Outcome::Unknown => Exit::Unknown,
    }
}
