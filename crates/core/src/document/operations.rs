//! Parsing of the `operations` list and detection of entries that can't take effect.

use crate::class::Class;
use crate::jsonc::{FaultKind, Item, Location, Section};

use super::read::{DEADLINE_MS, read_class};
use super::{Document, Method, Operation, PathPattern};

/// Reads `operations` and sorts them so that the first match of a call is the most specific one.
pub(super) fn read(
    root: &mut Section<'_, '_>,
    names: &[&str],
    default_class: Class,
) -> Vec<Operation> {
    let Some(item) = root.optional("operations") else {
        return Vec::new();
    };
    let lengths = 0..=Document::MAX_OPERATIONS;
    let located = item.list(lengths, |item| {
        LocatedOperation::read(item, names, default_class)
    });
    let located = located.unwrap_or_default();
    report_duplicates(root, &located);
    report_unreachable(root, &located);
    let mut operations: Vec<Operation> = located
        .into_iter()
        .map(|located| located.operation)
        .collect();
    operations
        .sort_by_cached_key(|operation| (operation.path.sort_key(), operation.method.is_none()));
    operations
}

/// An operation with its location in the document.
struct LocatedOperation {
    operation: Operation,
    location: Location,
}

impl LocatedOperation {
    fn read(item: Item<'_, '_>, names: &[&str], default_class: Class) -> Option<Self> {
        let location = item.location();
        let mut section = item.section()?;
        let method = section
            .optional("method")
            .map(|item| item.choice(&Method::NAMES));
        let path = section.required("path").and_then(read_path);
        let class = section
            .optional("class")
            .and_then(|item| read_class(item, names));
        let idempotent = section.optional("idempotent").and_then(Item::boolean);
        let deadline = section
            .optional("deadline_ms")
            .and_then(|item| item.millis(DEADLINE_MS));
        section.finish();
        let operation = Operation {
            // Drops the operation if its method is invalid, as `None` would match any method.
            method: match method {
                Some(method) => Some(method?),
                None => None,
            },
            path: path?,
            class: class.unwrap_or(default_class),
            idempotent,
            deadline,
        };
        Some(Self {
            operation,
            location,
        })
    }

    fn is_duplicate_of(&self, other: &Self) -> bool {
        self.operation.method == other.operation.method && self.has_same_path(other)
    }

    fn has_same_path(&self, other: &Self) -> bool {
        self.operation.path == other.operation.path
    }
}

fn read_path(item: Item<'_, '_>) -> Option<PathPattern> {
    item.parsed(|text| PathPattern::parse(text).map_err(|error| error.to_string()))
}

fn report_duplicates(root: &mut Section<'_, '_>, list: &[LocatedOperation]) {
    for (index, located) in list.iter().enumerate() {
        let Some(earlier) = list[..index]
            .iter()
            .find(|earlier| earlier.is_duplicate_of(located))
        else {
            continue;
        };
        let message = format!("{} has the same method and path", earlier.location.path());
        root.fault_at(&located.location, FaultKind::Duplicate, message);
    }
}

/// Reports operations without a method whose path also has an operation for every single method.
///
/// Longer paths and explicit methods take precedence, so this is the only way to make an operation unreachable.
fn report_unreachable(root: &mut Section<'_, '_>, list: &[LocatedOperation]) {
    for located in list
        .iter()
        .filter(|located| located.operation.method.is_none())
    {
        let has_operation = |method: Method| {
            let has_method = |other: &&LocatedOperation| other.operation.method == Some(method);
            list.iter()
                .filter(has_method)
                .any(|other| other.has_same_path(located))
        };
        if Method::NAMES
            .iter()
            .all(|(_, method)| has_operation(*method))
        {
            let message = "unreachable: every method of this path has an operation of its own";
            root.fault_at(&located.location, FaultKind::Unreachable, message);
        }
    }
}
