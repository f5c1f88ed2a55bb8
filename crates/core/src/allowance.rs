//! Retry limits: per request across the call graph, per edge and per failure.

mod backoff;
mod edge_budget;
mod policy;
mod request_allowance;
mod retry_after;

pub use backoff::Backoff;
pub use edge_budget::{EdgeBudget, EdgeBudgetConfig};
pub use policy::RetryPolicy;
pub use request_allowance::Allowance;
pub use retry_after::{RetryAfterConfig, TargetState, retry_after};
