//! Points in the history of the publisher.

use serde::{Deserialize, Serialize};

/// Counts how often the publisher has come back from an older copy of itself. Revisions of different eras name different
/// changes, as they are given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A revision and its era; a later era comes after every revision of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision within it.
    pub revision: u64,
}

impl Position {
    /// A revision of an era.
    pub const fn new(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl From<u64> for Position {
    /// A revision of a publisher that has never come back from a copy.
    fn from(revision: u64) -> Self {
        Self::new(Era(0), revision)
    }
}
