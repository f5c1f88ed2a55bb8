//! Map of per-workspace accounts with bounded memory.

use smol_str::SmolStr;

use crate::collections::Map;

/// Maximum number of accounts. Bounds memory if workspaces are created and removed continually.
const MAX_WORKSPACES: usize = 20_000;

/// Returns the account of a workspace, creating it if there is none. If the map is full, all accounts are removed
/// first: those in use are created again by their next request, and short-lived workspaces can't occupy the map
/// permanently.
pub(super) fn account_of<'a, A, F>(
    accounts: &'a mut Map<SmolStr, A>,
    workspace: &SmolStr,
    create: F,
) -> &'a mut A
where
    F: FnOnce() -> A,
{
    if accounts.len() >= MAX_WORKSPACES && !accounts.contains_key(workspace) {
        accounts.clear();
    }
    accounts.entry(workspace.clone()).or_insert_with(create)
}
