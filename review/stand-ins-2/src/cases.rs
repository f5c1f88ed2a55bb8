//! The cases.

mod crashes;
mod early_answer;
mod left_queue;
mod pipelined;

use crate::Verdict;
use crate::record::Record;

/// Runs the case with this name.
pub async fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    let verdict = match case {
        "early-answer" => early_answer::run(trouble, record).await,
        "pipelined" => pipelined::run(trouble, record).await,
        "crashes-by-turns" => crashes::run(&crashes::BY_TURNS, trouble, record).await,
        "crash-of-all" => crashes::run(&crashes::ALL_AT_ONCE, trouble, record).await,
        "left-queue" => left_queue::run(trouble, record).await,
        _ => return Verdict::NotRun(format!("no case `{case}`")),
    };
    verdict.unwrap_or_else(|e| Verdict::NotRun(e.to_string()))
}
