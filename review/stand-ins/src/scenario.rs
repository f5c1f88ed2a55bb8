//! Runs a case and turns its result into an exit code.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::time::timeout;

use crate::Record;

/// Longest time of a run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Runs a case whose folder is the first argument: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
pub fn run<F>(case: fn(Record) -> F) -> ExitCode
where
    F: Future<Output = Verdict> + Send + 'static,
{
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| String::from(".")));
    let record = Record::create(&folder);
    record.line(&format!("trouble: {}", trouble()));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    let started = record.clone();
    let result = runtime.block_on(async move {
        // A panic of the case ends only its task, and its processes end with it.
        tokio::spawn(timeout(TIME_LIMIT, case(started))).await
    });
    let (text, code) = match result {
        Ok(Ok(Verdict::Held)) => ("the rule held", 0),
        Ok(Ok(Verdict::Broken)) => ("the rule was broken", 1),
        Ok(Err(_)) => ("the case took too long", 2),
        Err(_) => ("the case couldn't run", 2),
    };
    record.result(text);
    ExitCode::from(code)
}
