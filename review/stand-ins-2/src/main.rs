//! Cases of the second review. Each starts nodes with the commands of the deploy file, between stand-ins for the
//! platform's store, its workers and its clients.
//!
//! Usage: `review-cases CASE FOLDER`, run in the root of the repository. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod client;
mod http;
mod network;
mod record;
mod site;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Longest run of a case, below the limit of 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {case}, trouble {trouble}"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    let run = cases::run(&case, trouble, &record);
    let verdict = runtime.block_on(async {
        tokio::time::timeout(TIME_LIMIT, run)
            .await
            .unwrap_or_else(|_| Verdict::NotRun("the time limit was reached".into()))
    });
    match verdict {
        Verdict::Held => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.line(format!("result: not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
