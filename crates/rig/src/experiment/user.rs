//! Users whose fleets the experiments model.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::RigError;

/// User whose fleet is modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum User {
    /// Telmarino Domain Auctions Mesh.
    Telmarino,
    /// Nilestone Engraving Labs.
    Nilestone,
}

impl User {
    /// All users.
    pub const ALL: [Self; 2] = [Self::Telmarino, Self::Nilestone];

    /// Name on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Telmarino => "telmarino",
            Self::Nilestone => "nilestone",
        }
    }
}

impl FromStr for User {
    type Err = RigError;

    fn from_str(s: &str) -> Result<Self, RigError> {
        let found = Self::ALL.into_iter().find(|user| user.as_str() == s);
        found.ok_or_else(|| {
            RigError::Settings(format!(
                "unknown user {s:?}: expected telmarino or nilestone"
            ))
        })
    }
}

impl fmt::Display for User {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
