//! What a document says about one call.

use std::time::Duration;

use smol_str::SmolStr;

use crate::class::Class;

/// What a document says about one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallProfile {
    /// Rank for shedding.
    pub class: Class,
    /// Name of the rank, as the team wrote it.
    pub class_name: SmolStr,
    /// Whether the call may run twice.
    pub idempotent: bool,
    /// Longest time that the call may take.
    pub deadline: Duration,
    /// Position of the operation in the document, from the most specific; absent where none covers the call.
    pub operation: Option<u16>,
}
