//! Published definition of a workspace, and the part of it that a directory stores.

use smol_str::SmolStr;

/// Limit on the requests of a workspace, counted over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Number of requests that may arrive at once on top of the rate.
    pub burst: f64,
}

/// A workspace as stored in a directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name under which targets know it.
    pub name: SmolStr,
    /// Priority, 0 for the highest; takes precedence over the rank of routes.
    pub rank: u8,
    /// Quota of its requests; `None` for no limit.
    pub quota: Option<Quota>,
}

/// A workspace with its keys, as published. The keys are dropped once their digests are computed.
#[derive(Clone)]
pub struct WorkspaceSpec {
    /// Part that the directory stores.
    pub workspace: Workspace,
    /// Keys of the workspace; empty if all have been revoked.
    pub keys: Vec<Box<[u8]>>,
}

impl std::fmt::Debug for WorkspaceSpec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WorkspaceSpec")
            .field("workspace", &self.workspace)
            .field("keys", &self.keys.len())
            .finish()
    }
}
