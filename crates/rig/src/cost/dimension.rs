//! Dimensions that a cost run varies.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::RigError;

/// Quantity that is varied while all others stay constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dimension {
    /// Number of nodes in the fleet.
    Nodes,
    /// Number of documents of services without instances, published besides the fleet's own.
    Documents,
    /// Number of idempotency tokens that each node of a service stores.
    Tokens,
    /// Calls per second, in total over the fleet.
    Calls,
    /// Document changes per second.
    Changes,
}

impl Dimension {
    /// All dimensions.
    pub const ALL: [Self; 5] = [
        Self::Nodes,
        Self::Documents,
        Self::Tokens,
        Self::Calls,
        Self::Changes,
    ];

    /// Name on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nodes => "nodes",
            Self::Documents => "documents",
            Self::Tokens => "tokens",
            Self::Calls => "calls",
            Self::Changes => "changes",
        }
    }

    /// Values at which the cost is measured; fleet sizes above `most_nodes` are left out.
    pub fn values(self, most_nodes: usize) -> Vec<usize> {
        match self {
            Self::Nodes => {
                let values = [2, 4, 8, 16, 32, 64, 120];
                let within = values.into_iter().filter(|nodes| *nodes <= most_nodes);
                within.collect()
            }
            Self::Documents => vec![0, 40, 80, 160],
            Self::Tokens => vec![0, 1_000, 2_000, 4_000],
            Self::Calls => vec![0, 100, 200, 400],
            Self::Changes => vec![0, 1, 2, 5],
        }
    }
}

impl FromStr for Dimension {
    type Err = RigError;

    fn from_str(s: &str) -> Result<Self, RigError> {
        let found = Self::ALL
            .into_iter()
            .find(|dimension| dimension.as_str() == s);
        found.ok_or_else(|| RigError::Settings(format!("unknown cost dimension {s:?}")))
    }
}

impl fmt::Display for Dimension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
