//! Policy that a document assigns to one call.

use std::time::Duration;

use smol_str::SmolStr;

use crate::class::Class;

/// Class, idempotency and time limit that a document assigns to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallProfile {
    /// Shedding rank.
    pub class: Class,
    /// Class name as written in the document.
    pub class_name: SmolStr,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Maximum duration of the call.
    pub deadline: Duration,
    /// Index of the matching operation, counted from the most specific one. `None` if no operation matches.
    pub operation: Option<u16>,
}
