//! Bounds of retrying: per request over the whole graph, per edge and second, and per failure.

mod backoff;
mod edge_budget;
mod moved;
mod policy;
mod retry_after;

pub use backoff::Backoff;
pub use edge_budget::{EdgeBudget, EdgeBudgetConfig};
pub use moved::Allowance;
pub use policy::RetryPolicy;
pub use retry_after::{RetryAfterConfig, TargetState, retry_after};
