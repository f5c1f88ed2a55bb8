//! Locations of values in a text.

/// Byte offset and key path of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    pub(super) offset: usize,
    pub(super) path: String,
}

impl Location {
    /// Returns the path of the key from the root, such as `operations[2]`.
    pub fn path(&self) -> &str {
        &self.path
    }
}
