//! Faults in JSON with comments.

use std::fmt;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The text is not valid JSON with comments.
    Syntax,
    /// The object does not support the key.
    UnknownKey,
    /// The key occurs more than once in the object.
    DuplicateKey,
    /// A required key is missing.
    Missing,
    /// The value has the wrong type for the key.
    WrongType,
    /// A number or length is outside the allowed range.
    OutOfRange,
    /// The value has the right type but is not valid.
    Invalid,
    /// The entry duplicates an earlier one in the same list.
    Duplicate,
    /// The entry can never take effect because other entries take precedence for everything it matches.
    Unreachable,
    /// Summary of further faults that are counted but not listed.
    Unlisted,
}

/// Fault with its position in the text and the affected key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Path of the key from the root, such as `operations[2].class`. Empty if the fault concerns the whole text.
    pub key: String,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Human-readable description.
    pub message: String,
    /// Known key or value that is similar enough to be suggested.
    pub hint: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " (did you mean \"{hint}\"?)"),
            None => Ok(()),
        }
    }
}
