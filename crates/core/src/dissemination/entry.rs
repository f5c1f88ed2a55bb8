//! Published entries and their revisions.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name of a published entry, such as `documents/bidding`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub SmolStr);

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self(SmolStr::new(text))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Sequence number of a write to the platform's store. Increases by one with each accepted write; 0 precedes the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision of the next write.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A published entry, as returned by `GET /config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the entry.
    pub key: Key,
    /// Revision of the write that created this version.
    pub revision: Revision,
    /// Content of the entry.
    #[serde(with = "shared_text")]
    pub value: Arc<str>,
}

/// The versions of an entry that a node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// Name of the entry.
    pub key: Key,
    /// Revision of the newest version held.
    pub revision: Revision,
    /// Revision of the version in force: the newest one, or an earlier one while the newest is invalid.
    pub in_force: Option<Revision>,
}

/// Serializes text in an `Arc` without serde's `rc` feature.
mod shared_text {
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(text)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Arc<str>, D::Error>
    where
        D: Deserializer<'de>,
    {
        String::deserialize(deserializer).map(Arc::from)
    }
}
