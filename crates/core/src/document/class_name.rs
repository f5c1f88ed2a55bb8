//! Class names.

use std::fmt;

use smol_str::SmolStr;

/// Name of a class of calls, as written in a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClassName(pub SmolStr);

impl ClassName {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ClassName {
    fn from(text: &str) -> Self {
        Self(SmolStr::new(text))
    }
}

impl fmt::Display for ClassName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
