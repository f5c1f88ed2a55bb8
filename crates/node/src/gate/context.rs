//! Opaque handle that links a target's downstream calls to the call in flight that caused them.

use std::fmt;
use std::str::FromStr;

use coltsfootport_core::id::Incarnation;
use slotmap::{Key, KeyData};

use super::InFlightKey;

/// Identifies a call in flight at one incarnation of a node.
///
/// The target copies it into its downstream calls. Deadline, class and retry allowance stay in the node's memory, so
/// copying the handle to many calls does not multiply the allowance. It includes the incarnation because a handle held
/// by a target that outlives its node could otherwise refer to a later, unrelated call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContextHandle {
    incarnation: u64,
    /// Key of the call in flight.
    pub key: InFlightKey,
}

/// The text is not a valid context handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed context")]
pub struct ParseContextError;

impl ContextHandle {
    /// Creates the handle of a call in flight at `incarnation`.
    pub fn new(incarnation: Incarnation, key: InFlightKey) -> Self {
        Self {
            incarnation: fold_to_u64(incarnation),
            key,
        }
    }

    /// Whether the handle was issued by `incarnation`.
    pub fn is_issued_by(&self, incarnation: Incarnation) -> bool {
        self.incarnation == fold_to_u64(incarnation)
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

fn fold_to_u64(incarnation: Incarnation) -> u64 {
    (incarnation.0 ^ (incarnation.0 >> 64)) as u64
}
