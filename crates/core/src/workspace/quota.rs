//! Fleet-wide quotas of workspaces, enforced without a shared store and without a remote call in the request path.
//!
//! Entry nodes, here called *entries*, decide locally and afterwards report the requests that they received and
//! admitted. The reports go to the *homes* of the workspace: a few nodes, selected by rendezvous hashing over the
//! published instances. Each home enforces a fixed part of the quota and answers with a [`Verdict`], from which entries
//! derive the share of requests to admit.

mod accounts;
mod bound;
mod demand;
mod entry;
mod entry_account;
mod home;
mod homes;
mod routing;
mod tally;
mod verdict;

pub use bound::QuotaBound;
pub use entry::{EntryQuotas, OverQuota, QuotaClaim, QuotaConfig, QuotaUsage};
pub use home::HomeQuotas;
pub use homes::homes_of;
pub use routing::{QuotaNotice, QuotaRouter, RoutedClaim};
pub use tally::{HomeTally, QuotaBasis, QuotaTally};
pub use verdict::Verdict;
