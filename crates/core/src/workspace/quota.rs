//! Quotas of workspaces over the whole fleet, without a store and without asking on the path of a request.
//!
//! Entries admit at once and tell afterwards what they were asked for and let run. They tell the *homes* of the workspace: a
//! few nodes, found by rendezvous hashing over the published instances. Each home has a fixed part of the quota, and answers
//! with the share of requests that entries should admit from now on.

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
