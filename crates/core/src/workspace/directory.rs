//! Lookup of the workspaces of one configuration, by key and by name.

use smol_str::SmolStr;

use super::key_digest::{KeyDigest, KeyHasher};
use super::{DirectorySecret, Quota, Workspace, WorkspaceSpec};
use crate::collections::Map;

/// Maximum length of a key in bytes. A key is sent in a header, and longer ones exceed the usual limits on header size.
pub const MAX_KEY_BYTES: usize = 4096;

/// Maximum rate and burst, in requests. Far above what any fleet serves, and low enough that sums over nodes stay
/// exact.
const MAX_REQUESTS: f64 = 1e9;

/// Immutable set of workspaces, validated as a whole.
#[derive(Clone)]
pub struct Directory {
    workspaces: Vec<Workspace>,
    by_key: Map<KeyDigest, u32>,
    by_name: Map<SmolStr, u32>,
    hasher: KeyHasher,
}

/// Validation error of a directory. Contains the name of the workspace, but never a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// Two workspaces have the same name.
    #[error("two workspaces are named `{0}`")]
    DuplicateName(SmolStr),
    /// The name of a workspace is empty.
    #[error("a workspace has no name")]
    EmptyName,
    /// A key is empty.
    #[error("workspace `{0}`: key {1} is empty")]
    EmptyKey(SmolStr, usize),
    /// A key is longer than [`MAX_KEY_BYTES`].
    #[error("workspace `{0}`: key {1} is too long")]
    KeyTooLong(SmolStr, usize),
    /// A key belongs to two workspaces.
    #[error("workspaces `{0}` and `{1}` have a key in common")]
    SharedKey(SmolStr, SmolStr),
    /// A rate or burst is negative, not a number, or too large.
    #[error("workspace `{0}`: the quota is out of range")]
    QuotaOutOfRange(SmolStr),
}

impl Directory {
    /// Validates the workspaces and computes the digests of their keys.
    ///
    /// # Errors
    ///
    /// Returns the first error found. No part of an invalid directory is used.
    pub fn new<I>(specs: I, secret: DirectorySecret) -> Result<Self, DirectoryError>
    where
        I: IntoIterator<Item = WorkspaceSpec>,
    {
        let mut directory = Self {
            workspaces: Vec::new(),
            by_key: Map::default(),
            by_name: Map::default(),
            hasher: KeyHasher::new(secret),
        };
        for spec in specs {
            validate(&spec)?;
            directory.add(spec)?;
        }
        Ok(directory)
    }

    /// Returns the workspace that a key belongs to.
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Workspace> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        let index = self.by_key.get(&self.hasher.digest(key))?;
        self.workspaces.get(*index as usize)
    }

    /// Returns the workspace with the given name.
    pub fn find_by_name(&self, name: &str) -> Option<&Workspace> {
        let index = self.by_name.get(name)?;
        self.workspaces.get(*index as usize)
    }

    /// Returns all workspaces, in the order in which they were published.
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Returns the number of distinct keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    fn add(&mut self, spec: WorkspaceSpec) -> Result<(), DirectoryError> {
        let index = u32::try_from(self.workspaces.len()).unwrap_or(u32::MAX);
        let name = &spec.workspace.name;
        if self.by_name.insert(name.clone(), index).is_some() {
            return Err(DirectoryError::DuplicateName(name.clone()));
        }
        for key in &spec.keys {
            let previous = self.by_key.insert(self.hasher.digest(key), index);
            if let Some(other) = previous.filter(|other| *other != index) {
                let other = self.workspaces[other as usize].name.clone();
                return Err(DirectoryError::SharedKey(other, spec.workspace.name));
            }
        }
        self.workspaces.push(spec.workspace);
        Ok(())
    }
}

impl std::fmt::Debug for Directory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Directory")
            .field("workspaces", &self.workspaces.len())
            .field("keys", &self.by_key.len())
            .finish()
    }
}

fn validate(spec: &WorkspaceSpec) -> Result<(), DirectoryError> {
    let name = &spec.workspace.name;
    if name.is_empty() {
        return Err(DirectoryError::EmptyName);
    }
    for (index, key) in spec.keys.iter().enumerate() {
        match key.len() {
            0 => return Err(DirectoryError::EmptyKey(name.clone(), index)),
            1..=MAX_KEY_BYTES => {}
            _ => return Err(DirectoryError::KeyTooLong(name.clone(), index)),
        }
    }
    match spec.workspace.quota {
        Some(quota) if !is_in_range(&quota) => Err(DirectoryError::QuotaOutOfRange(name.clone())),
        _ => Ok(()),
    }
}

fn is_in_range(quota: &Quota) -> bool {
    let range = 0.0..=MAX_REQUESTS;
    range.contains(&quota.per_second) && range.contains(&quota.burst)
}
