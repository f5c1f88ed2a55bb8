//! Request IDs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// ID of a request, assigned at its entry and shared by all calls of its call chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// Error of parsing a request ID that does not have 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id must have 32 hexadecimal digits")]
pub struct ParseRequestIdError;

impl RequestId {
    /// Generates a random ID.
    pub fn random() -> Self {
        Self(Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 {
            return Err(ParseRequestIdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseRequestIdError)
    }
}
