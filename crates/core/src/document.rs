//! Team documents: what a service asks of the system, checked whole before it takes effect.

mod call_profile;
mod class_name;
mod method;
mod operation;
mod operations;
mod path;
mod path_pattern;
mod read;
mod target_hints;

use std::time::Duration;

use crate::class::Class;
use crate::id::ServiceName;
use crate::jsonc::{self, Fault};

pub use call_profile::CallProfile;
pub use class_name::ClassName;
pub use method::Method;
pub use operation::Operation;
pub use path_pattern::{ParsePathPatternError, PathPattern};
pub use target_hints::TargetHints;

/// The document of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The service that the document is about.
    pub service: ServiceName,
    /// Names of the classes, by rank: the first is shed last.
    pub classes: Vec<ClassName>,
    /// Class of calls that no operation covers.
    pub default_class: Class,
    /// Calls singled out, from the most specific to the least.
    pub operations: Vec<Operation>,
    /// Retries that one request may cause over its whole call chain.
    pub retry_allowance: u16,
    /// Time limit of calls that no operation limits.
    pub deadline: Duration,
    /// Hints about the targets.
    pub target: TargetHints,
}

impl Document {
    /// Retries where the document names no number.
    pub const DEFAULT_RETRY_ALLOWANCE: u16 = 2;

    /// Most retries that a document may allow.
    pub const MAX_RETRY_ALLOWANCE: u16 = 8;

    /// Time limit where the document names none.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

    /// Most operations of one document.
    pub const MAX_OPERATIONS: usize = 256;

    /// Reads a document; with any fault it is refused and every fault is told.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        Self::read(text, None)
    }

    /// Reads the document that is published for `service`; a document that names another service is refused.
    ///
    /// Published under the wrong key, one team's rules would hold for another team's calls, seen as bids in a class that
    /// their service doesn't know.
    pub fn parse_for(service: &ServiceName, text: &str) -> Result<Self, Vec<Fault>> {
        Self::read(text, Some(service))
    }

    /// What the document says about a call, whose path is the target's own, with or without a query.
    pub fn profile(&self, method: &str, path: &str) -> CallProfile {
        let method = Method::from_word(method);
        let path = path::without_query(path);
        if path::is_ambiguous(path) {
            return self.profile_of(self.default_class, false, self.deadline, None);
        }
        let by_method = method.is_some_and(Method::is_idempotent);
        let covers = |operation: &Operation| operation.matches(method, path);
        let Some(position) = self.operations.iter().position(covers) else {
            return self.profile_of(self.default_class, by_method, self.deadline, None);
        };
        let operation = &self.operations[position];
        let idempotent = operation.idempotent.unwrap_or(by_method);
        let deadline = operation.deadline.unwrap_or(self.deadline);
        self.profile_of(operation.class, idempotent, deadline, Some(position as u16))
    }

    /// The name of a class; absent where the document has fewer classes.
    pub fn class_name(&self, class: Class) -> Option<&ClassName> {
        self.classes.get(usize::from(class.0))
    }

    fn read(text: &str, published_for: Option<&ServiceName>) -> Result<Self, Vec<Fault>> {
        let parsed = jsonc::parse(text, |root| read::document(root, published_for));
        match parsed.value {
            Some(document) if parsed.faults.is_empty() => Ok(document),
            _ => Err(parsed.faults),
        }
    }

    fn profile_of(
        &self,
        class: Class,
        idempotent: bool,
        deadline: Duration,
        operation: Option<u16>,
    ) -> CallProfile {
        let class_name = self.class_name(class).map(|name| name.0.clone());
        CallProfile {
            class,
            class_name: class_name.unwrap_or_default(),
            idempotent,
            deadline,
            operation,
        }
    }
}
