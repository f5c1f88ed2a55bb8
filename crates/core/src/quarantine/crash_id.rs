//! Identifier of a crash of a target's process.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one unplanned exit of a target's process by a random number drawn by the node next to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
