//! From a text to its checked root object.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::{Fault, FaultKind, Faults, Section, shape};

/// Largest text that is read, in bytes: the largest value that the platform's service holds.
const MAX_BYTES: usize = 1024 * 1024;

/// What came of reading a text.
#[derive(Debug)]
pub struct Parsed<T> {
    /// The value; absent where a fault left nothing to build.
    pub value: Option<T>,
    /// Every fault, in the order of the text.
    pub faults: Vec<Fault>,
    /// Whether a fault concerns a value without a usable default.
    pub fatal: bool,
}

/// Parses `text` and hands its root object to `read`, which reports faults through the section.
///
/// `read` returns `None` where a fault leaves nothing to build.
pub fn parse<T, F>(text: &str, read: F) -> Parsed<T>
where
    F: FnOnce(Section<'_, '_>) -> Option<T>,
{
    let mut faults = Faults::default();
    let root = check_syntax(text, &mut faults);
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
    let message = "the text must be one object in braces";
    faults.push(root.range().start, "", FaultKind::WrongType, message);
    None
}

fn check_syntax<'t>(text: &'t str, faults: &mut Faults) -> Option<Value<'t>> {
    if text.len() > MAX_BYTES {
        faults.push(
            0,
            "",
            FaultKind::OutOfRange,
            format!("the text is above {MAX_BYTES} bytes"),
        );
        return None;
    }
    if let Some(fault) = shape::check(text) {
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
