//! Parsing and validation of documents.

use std::ops::RangeInclusive;

use crate::class::Class;
use crate::id::ServiceName;
use crate::jsonc::{FaultKind, Item, Section};

use super::{ClassName, Document, TargetHints, operations};

/// First path segment of the nodes' own endpoints, which no service may use as its name.
const RESERVED_SERVICE: &str = "coltsfootport";

/// Allowed time limits of calls, in milliseconds.
pub(super) const DEADLINE_MS: RangeInclusive<u64> = 10..=60_000;

/// Reads a document. If `published_for` is given, the document must name that service.
pub(super) fn document(
    mut root: Section<'_, '_>,
    published_for: Option<&ServiceName>,
) -> Option<Document> {
    let service = root
        .required("service")
        .and_then(|item| read_service(item, published_for));
    let classes = root.required("classes").and_then(read_classes);
    let names: Vec<&str> = classes.iter().flatten().map(ClassName::as_str).collect();
    let default_class = read_default_class(&mut root, &names);
    let operations = operations::read(&mut root, &names, default_class);
    let retry_allowance = root.integer(
        "retry_allowance",
        0..=Document::MAX_RETRY_ALLOWANCE,
        Document::DEFAULT_RETRY_ALLOWANCE,
    );
    let deadline = root.millis("deadline_ms", DEADLINE_MS, Document::DEFAULT_DEADLINE);
    let target = root.section("target", read_target);
    root.finish();
    Some(Document {
        service: service?,
        classes: classes?,
        default_class,
        operations,
        retry_allowance,
        deadline,
        target,
    })
}

fn read_service(
    mut item: Item<'_, '_>,
    published_for: Option<&ServiceName>,
) -> Option<ServiceName> {
    let text = item.as_text()?;
    if text == RESERVED_SERVICE {
        return item.reject(
            FaultKind::Invalid,
            "this name is reserved for the nodes' own endpoints",
        );
    }
    if let Some(service) = published_for.filter(|service| service.as_str() != text) {
        let message = format!("the document is published for \"{service}\"");
        return item.reject(FaultKind::Invalid, message);
    }
    item.name().map(ServiceName::from)
}

fn read_classes(item: Item<'_, '_>) -> Option<Vec<ClassName>> {
    let mut seen: Vec<ClassName> = Vec::new();
    item.list(1..=Class::COUNT, |mut item| {
        let text = item.as_text()?;
        let name = ClassName::from(text);
        if seen.contains(&name) {
            return item.reject(
                FaultKind::Duplicate,
                format!("class \"{name}\" is listed more than once"),
            );
        }
        item.name()?;
        seen.push(name.clone());
        Some(name)
    })
}

/// Reads the class of calls that match no operation. Defaults to the class that is shed first.
fn read_default_class(root: &mut Section<'_, '_>, names: &[&str]) -> Class {
    let last = class_at(names.len().saturating_sub(1));
    root.optional("default_class")
        .and_then(|item| read_class(item, names))
        .unwrap_or(last)
}

pub(super) fn read_class(mut item: Item<'_, '_>, names: &[&str]) -> Option<Class> {
    let text = item.as_text()?;
    match names.iter().position(|name| *name == text) {
        Some(rank) => Some(class_at(rank)),
        None => item.unknown_value(text, names),
    }
}

/// Returns the class with a rank. The list of classes is limited to [`Class::COUNT`], so the rank always fits.
fn class_at(rank: usize) -> Class {
    u8::try_from(rank).map_or(Class::LOWEST, Class)
}

fn read_target(mut section: Section<'_, '_>) -> TargetHints {
    let slots = section
        .optional("slots")
        .and_then(|item| item.integer(1..=10_000));
    let connections = section
        .optional("connections")
        .and_then(|item| item.integer(1..=65_535));
    let cold_start = section
        .optional("cold_start_ms")
        .and_then(|item| item.millis(0..=600_000));
    section.finish();
    TargetHints {
        slots,
        connections,
        cold_start,
    }
}
