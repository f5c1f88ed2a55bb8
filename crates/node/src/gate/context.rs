//! The handle by which a target's own calls name the call that they serve.

use std::fmt;
use std::str::FromStr;

use coltsfootport_core::id::Incarnation;
use slotmap::{Key, KeyData};

use super::InFlightKey;

/// Names a call in flight at one incarnation of a node.
///
/// A target copies it into its own calls. It carries no rights of its own: deadline, class and retry allowance stay in the
/// node's memory, so that a copy to many calls does not multiply the allowance. It names the incarnation because a target
/// that outlives its node would otherwise name a later, unrelated call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContextHandle {
    incarnation: u64,
    /// The call in flight.
    pub key: InFlightKey,
}

/// A text is not a context handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed context")]
pub struct ParseContextError;

impl ContextHandle {
    /// The handle of a call in flight at `incarnation`.
    pub fn new(incarnation: Incarnation, key: InFlightKey) -> Self {
        Self {
            incarnation: fold(incarnation),
            key,
        }
    }

    /// Whether the handle was given out by `incarnation`.
    pub fn is_of(&self, incarnation: Incarnation) -> bool {
        self.incarnation == fold(incarnation)
    }
}

impl fmt::Display for ContextHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}-{:016x}",
            self.incarnation,
            self.key.data().as_ffi()
        )
    }
}

impl FromStr for ContextHandle {
    type Err = ParseContextError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (incarnation, key) = text.split_once('-').ok_or(ParseContextError)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| ParseContextError)?;
        let key = u64::from_str_radix(key, 16).map_err(|_| ParseContextError)?;
        Ok(Self {
            incarnation,
            key: InFlightKey::from(KeyData::from_ffi(key)),
        })
    }
}

fn fold(incarnation: Incarnation) -> u64 {
    (incarnation.0 ^ (incarnation.0 >> 64)) as u64
}
