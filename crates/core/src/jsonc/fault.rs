//! One fault in a text of JSON with comments.

use std::fmt;

/// What is wrong at a place of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The text is not JSON with comments.
    Syntax,
    /// The key is not one that this place may hold.
    UnknownKey,
    /// The key stands twice in one object.
    DuplicateKey,
    /// A key that must be given is absent.
    Missing,
    /// The value is of another type than the key takes.
    WrongType,
    /// The number or length lies outside the range of the key.
    OutOfRange,
    /// The value is of the right type but can't be used.
    Invalid,
    /// The entry repeats an earlier one of its list.
    Duplicate,
    /// The entry can never take effect, because other entries take everything that it matches.
    Unreachable,
    /// Further faults, which are counted and not listed.
    Unlisted,
}

/// One fault, with its position in the text and the key that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key from the root, as in `operations[2].class`; empty for the whole text.
    pub key: String,
    /// What is wrong.
    pub kind: FaultKind,
    /// What is wrong, in a sentence for the person who wrote the text.
    pub message: String,
    /// The nearest known key or value, where one is near enough.
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
