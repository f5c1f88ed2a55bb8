//! Identity of one end of a target's process.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One unplanned end of a target's process, with a random number that the node beside it has drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
