//! `call`: one request through a node, sent again as far as that is safe and welcome.

mod answer;
mod attempt;
mod policy;
mod request;
mod session;

pub use answer::Answer;
pub use policy::{AttemptEnd, Credential, Next, Policy};
pub use request::{CallFault, CallRequest};

use coltsfootport_core::outcome::Outcome;

use crate::cli::CallOptions;
use crate::exit::Exit;

use super::output;
use super::runtime::block_on;
use session::{Session, Verdict};

/// Sends the request, prints the answer's body, and tells on standard error whether the request ran.
pub fn run(options: &CallOptions) -> Exit {
    let request = match CallRequest::try_from(options) {
        Ok(request) => request,
        Err(fault) => {
            eprintln!("coltsfootport: call: {fault}");
            return Exit::Usage;
        }
    };
    block_on(async { report(&Session::new(options, request).run().await) })
}

fn report(verdict: &Verdict) -> Exit {
    eprintln!("{verdict}");
    let body = verdict
        .answer
        .as_ref()
        .map_or(&[][..], |answer| &answer.body);
    if let Err(fault) = output::write(body) {
        // The exit code goes on telling the outcome, which matters more to a script than the lost text.
        eprintln!("coltsfootport: standard output: {fault}");
    }
    let failed = verdict
        .answer
        .as_ref()
        .is_some_and(|answer| answer.status >= 400);
    match verdict.outcome {
        Outcome::Ran if failed => Exit::RanWithError,
        Outcome::Ran => Exit::Ok,
        Outcome::NotRun => Exit::NotRun,
        Outcome::Unknown => Exit::Unknown,
    }
}
