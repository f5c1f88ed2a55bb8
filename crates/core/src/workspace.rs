//! Workspaces: whose requests they are, how urgent, and how many of them a second may run.
//!
//! A published configuration names the workspaces with their keys. Requests bear a key where they enter the mesh and nowhere
//! else; from there on only the name of the workspace travels with them.

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
