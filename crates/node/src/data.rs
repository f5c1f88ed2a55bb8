//! Calls, answers and reports as they pass through a node.

mod answer;
mod call;
mod reply;
mod report;

pub use answer::{Answer, Refused, Verdict};
pub use call::{AttemptId, Call, OnceCall};
pub use reply::Reply;
pub use report::HostReport;
