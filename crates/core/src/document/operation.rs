//! One entry of `operations`.

use std::time::Duration;

use crate::class::Class;

use super::{Method, PathPattern};

/// Calls that a team singles out, by method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Method of the calls; absent for any.
    pub method: Option<Method>,
    /// Paths of the calls.
    pub path: PathPattern,
    /// Class of the calls.
    pub class: Class,
    /// Whether the calls may run twice; absent where the method decides.
    pub idempotent: Option<bool>,
    /// Time limit of the calls; absent for the document's.
    pub deadline: Option<Duration>,
}

impl Operation {
    /// Whether a call belongs to this operation.
    pub fn matches(&self, method: Option<Method>, path: &str) -> bool {
        let method_matches = self.method.is_none() || self.method == method;
        method_matches && self.path.matches(path)
    }
}
