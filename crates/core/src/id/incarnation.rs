//! Identity of a node process.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Random ID of a node process, which changes with every restart.
///
/// In-memory state is lost when the process ends. A reference that includes the incarnation can't be confused with the
/// state of a later process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u128);

impl Incarnation {
    /// Generates a random ID.
    pub fn random() -> Self {
        Self(Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
