//! Calls, verdicts and host reports, as passed between the parts of a node.

mod answer;
mod call;
mod reply;
mod report;

pub use answer::{Answer, Refused, Verdict};
pub use call::{AttemptId, Call, OnceCall};
pub use reply::Reply;
pub use report::HostReport;
