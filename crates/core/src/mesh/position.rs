//! Positions in the history of the publisher.

use serde::{Deserialize, Serialize};

/// Number of times that the publisher was restored from an older copy. Revision numbers are reused after a restore,
/// so the same revision refers to different changes in different eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A revision and its era. Every revision of a later era orders after all revisions of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the publisher.
    pub era: Era,
    /// Revision within the era.
    pub revision: u64,
}

impl Position {
    /// Creates the position of a revision in an era.
    pub const fn new(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl From<u64> for Position {
    /// Converts a revision of a publisher that was never restored, in its first era.
    fn from(revision: u64) -> Self {
        Self::new(Era(0), revision)
    }
}
