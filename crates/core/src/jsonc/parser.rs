//! Entry point of the reader.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::{Fault, FaultKind, Faults, Section, structure};

/// Maximum size of a text in bytes, which is the largest value that the platform's configuration service stores.
const MAX_BYTES: usize = 1024 * 1024;

/// Result of reading a text.
#[derive(Debug)]
pub struct Parsed<T> {
    /// The value, or `None` if faults prevented building it.
    pub value: Option<T>,
    /// All faults, in the order of the text.
    pub faults: Vec<Fault>,
    /// Whether a required value is missing or invalid, or `value` is `None`.
    pub fatal: bool,
}

/// Parses `text` and passes its root object to `read`, which reports faults through the section.
///
/// `read` returns `None` if faults prevent building the value.
pub fn parse<T, F>(text: &str, read: F) -> Parsed<T>
where
    F: FnOnce(Section<'_, '_>) -> Option<T>,
{
    let mut faults = Faults::default();
    let root = parse_syntax(text, &mut faults);
    let value = root.and_then(|root| read_root(&root, &mut faults, read));
    let fatal = faults.is_fatal() || value.is_none();
    Parsed {
        value,
        faults: faults.into_list(text),
        fatal,
    }
}

fn read_root<T, F>(root: &Value<'_>, faults: &mut Faults, read: F) -> Option<T>
where
    F: FnOnce(Section<'_, '_>) -> Option<T>,
{
    if let Value::Object(object) = root {
        return read(Section::new(object, String::new(), faults));
    }
    let message = "the root must be an object";
    faults.push(root.range().start, "", FaultKind::WrongType, message);
    None
}

fn parse_syntax<'t>(text: &'t str, faults: &mut Faults) -> Option<Value<'t>> {
    if text.len() > MAX_BYTES {
        faults.push(
            0,
            "",
            FaultKind::OutOfRange,
            format!("the text is larger than {MAX_BYTES} bytes"),
        );
        return None;
    }
    if let Some(fault) = structure::check(text) {
        faults.push(fault.offset, "", FaultKind::Syntax, fault.message);
        return None;
    }
    let options = ParseOptions {
        allow_loose_object_property_names: false,
        ..Default::default()
    };
    match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed.value.or_else(|| {
            faults.push(0, "", FaultKind::Syntax, "the text is empty");
            None
        }),
        Err(error) => {
            let message = error.kind().to_string().to_lowercase();
            faults.push(error.range().start, "", FaultKind::Syntax, message);
            None
        }
    }
}
