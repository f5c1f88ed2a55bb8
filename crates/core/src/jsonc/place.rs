//! Where a value stands in a text.

/// Position and key path of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub(super) offset: usize,
    pub(super) path: String,
}

impl Place {
    /// Path of the key from the root, as in `operations[2]`.
    pub fn path(&self) -> &str {
        &self.path
    }
}
