//! The phases of a node's life.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Where a node is in its life; the order of the variants is the only order of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The node has no documents yet and takes no work.
    Starting,
    /// The node takes new work.
    Serving,
    /// The node takes no new work and finishes what it has admitted.
    Leaving,
    /// Nothing is in flight any more; the process may end.
    Stopped,
}

impl Phase {
    /// The label used in metrics, logs and the time line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Stopped => "stopped",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
