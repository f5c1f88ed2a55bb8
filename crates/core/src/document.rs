//! Documents: the policy that a team publishes for its service. A document is validated as a whole before it takes
//! effect.

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

/// Policy of one service: classes, operations, retry allowance and time limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Service that the policy applies to.
    pub service: ServiceName,
    /// Class names in order of rank. The first class is shed last.
    pub classes: Vec<ClassName>,
    /// Class of calls that match no operation.
    pub default_class: Class,
    /// Rules for particular calls, sorted from most to least specific.
    pub operations: Vec<Operation>,
    /// Number of retries that one request may cause across its whole call chain.
    pub retry_allowance: u16,
    /// Time limit of calls whose operation sets none.
    pub deadline: Duration,
    /// Capacity hints for the targets.
    pub target: TargetHints,
}

impl Document {
    /// Retry allowance if the document sets none.
    pub const DEFAULT_RETRY_ALLOWANCE: u16 = 2;

    /// Maximum retry allowance that a document may set.
    pub const MAX_RETRY_ALLOWANCE: u16 = 8;

    /// Time limit if the document sets none.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

    /// Maximum number of operations in a document.
    pub const MAX_OPERATIONS: usize = 256;

    /// Parses and validates a document. Any fault rejects it, and all faults are returned.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        Self::read(text, None)
    }

    /// Parses the document published for `service` and rejects it if it names another service.
    ///
    /// Without this check, a document published under the wrong key would apply one team's rules to another team's
    /// calls. Bids, for example, would run in a class that their service doesn't define.
    pub fn parse_for(service: &ServiceName, text: &str) -> Result<Self, Vec<Fault>> {
        Self::read(text, Some(service))
    }

    /// Returns the class, idempotency and time limit of a call.
    ///
    /// `path` is the path that the target sees, with or without a query.
    pub fn profile(&self, method: &str, path: &str) -> CallProfile {
        let method = Method::from_name(method);
        let path = path::without_query(path);
        if path::is_ambiguous(path) {
            return self.build_profile(self.default_class, false, self.deadline, None);
        }
        let idempotent_by_method = method.is_some_and(Method::is_idempotent);
        let matches = |operation: &Operation| operation.matches(method, path);
        let Some(position) = self.operations.iter().position(matches) else {
            return self.build_profile(
                self.default_class,
                idempotent_by_method,
                self.deadline,
                None,
            );
        };
        let operation = &self.operations[position];
        let idempotent = operation.idempotent.unwrap_or(idempotent_by_method);
        let deadline = operation.deadline.unwrap_or(self.deadline);
        self.build_profile(operation.class, idempotent, deadline, Some(position as u16))
    }

    /// Returns the name of a class, or `None` if the document defines fewer classes.
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

    fn build_profile(
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
