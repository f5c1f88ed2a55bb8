//! Open-loop load generator: calls start on schedule whether or not earlier calls have completed.

mod call;
mod ending;
mod generator;
mod operation;
mod plan;
mod recorder;
mod report;
mod token_pool;

pub use self::ending::{Ending, ExpectedAnswer};
pub use self::generator::run;
pub use self::operation::Operation;
pub use self::plan::{Arrivals, Behaviour, LoadPlan, Stage};
pub use self::report::{
    ClassReport, EndingCounts, KeyEnding, LatencyReport, LoadReport, SecondReport,
};
