//! An entry of a document's `operations` list.

use std::time::Duration;

use crate::class::Class;

use super::{Method, PathPattern};

/// Rule for calls selected by method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Method of the calls, or `None` for any method.
    pub method: Option<Method>,
    /// Pattern that the path of a call must match.
    pub path: PathPattern,
    /// Class of the calls.
    pub class: Class,
    /// Whether the calls may run more than once. `None` leaves this to the method.
    pub idempotent: Option<bool>,
    /// Time limit of the calls. `None` uses the document's limit.
    pub deadline: Option<Duration>,
}

impl Operation {
    /// Returns whether a call matches this operation.
    pub fn matches(&self, method: Option<Method>, path: &str) -> bool {
        let method_matches = self.method.is_none() || self.method == method;
        method_matches && self.path.matches(path)
    }
}
