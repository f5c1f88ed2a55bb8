//! Reading the list of operations and finding those that can't take effect.

use crate::class::Class;
use crate::jsonc::{FaultKind, Item, Place, Section};

use super::read::{DEADLINE_MS, read_class};
use super::{Document, Method, Operation, PathPattern};

/// Reads `operations`, sorted so that the first one which matches a call is the most specific.
pub(super) fn read(
    root: &mut Section<'_, '_>,
    names: &[&str],
    default_class: Class,
) -> Vec<Operation> {
    let Some(item) = root.optional("operations") else {
        return Vec::new();
    };
    let lengths = 0..=Document::MAX_OPERATIONS;
    let placed = item.list(lengths, |item| Placed::read(item, names, default_class));
    let placed = placed.unwrap_or_default();
    report_duplicates(root, &placed);
    report_unreachable(root, &placed);
    let mut operations: Vec<Operation> =
        placed.into_iter().map(|placed| placed.operation).collect();
    operations.sort_by_cached_key(|operation| (operation.path.rank(), operation.method.is_none()));
    operations
}

/// An operation with its place in the text.
struct Placed {
    operation: Operation,
    place: Place,
}

impl Placed {
    fn read(item: Item<'_, '_>, names: &[&str], default_class: Class) -> Option<Self> {
        let place = item.place();
        let mut section = item.section()?;
        let method = section
            .optional("method")
            .map(|item| item.choice(&Method::WORDS));
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
            // A method that isn't understood must not stand for any method.
            method: match method {
                Some(method) => Some(method?),
                None => None,
            },
            path: path?,
            class: class.unwrap_or(default_class),
            idempotent,
            deadline,
        };
        Some(Self { operation, place })
    }

    fn covers_same(&self, other: &Self) -> bool {
        self.operation.method == other.operation.method && self.has_same_path(other)
    }

    fn has_same_path(&self, other: &Self) -> bool {
        self.operation.path == other.operation.path
    }
}

fn read_path(item: Item<'_, '_>) -> Option<PathPattern> {
    item.parsed(|text| PathPattern::parse(text).map_err(|error| error.to_string()))
}

fn report_duplicates(root: &mut Section<'_, '_>, list: &[Placed]) {
    for (index, placed) in list.iter().enumerate() {
        let Some(earlier) = list[..index]
            .iter()
            .find(|earlier| earlier.covers_same(placed))
        else {
            continue;
        };
        let message = format!("{} has the same method and path", earlier.place.path());
        root.fault_at(&placed.place, FaultKind::Duplicate, message);
    }
}

/// Reports operations for any method whose path has an operation for each method of its own.
///
/// A longer path or a method of its own wins, so nothing else can hide an operation.
fn report_unreachable(root: &mut Section<'_, '_>, list: &[Placed]) {
    for placed in list
        .iter()
        .filter(|placed| placed.operation.method.is_none())
    {
        let is_named = |method: Method| {
            let names = |other: &&Placed| other.operation.method == Some(method);
            list.iter()
                .filter(names)
                .any(|other| other.has_same_path(placed))
        };
        if Method::WORDS.iter().all(|(_, method)| is_named(*method)) {
            let message = "no call is left for this: each method of the path has an operation";
            root.fault_at(&placed.place, FaultKind::Unreachable, message);
        }
    }
}
