//! Workspaces, which own requests and define their priority and quota.
//!
//! A published configuration lists the workspaces with their keys. A request carries a key only where it enters the
//! mesh; from there on, only the name of the workspace is passed along.

mod directory;
mod key_digest;
mod quota;
mod spec;

pub use directory::{Directory, DirectoryError, MAX_KEY_BYTES};
pub use key_digest::DirectorySecret;
pub use quota::{
    EntryQuotas, HomeQuotas, HomeTally, OverQuota, QuotaBasis, QuotaBound, QuotaClaim, QuotaConfig,
    QuotaNotice, QuotaRouter, QuotaTally, QuotaUsage, RoutedClaim, Verdict, homes_of,
};
pub use spec::{Quota, Workspace, WorkspaceSpec};
