//! Phases of the node lifecycle.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Phase of a node's lifecycle. Phases only change in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The node has no documents yet and accepts no work.
    Starting,
    /// The node accepts new work.
    Serving,
    /// The node finishes admitted work. New work is refused, at the latest after the acceptance period.
    Leaving,
    /// All work has finished or been abandoned; the process may exit.
    Stopped,
}

impl Phase {
    /// Label used in metrics, logs and the timeline.
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
