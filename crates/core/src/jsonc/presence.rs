//! Required and optional keys.

/// Whether the text is usable if the value of a key is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A default replaces the value.
    Optional,
    /// There is no default, so the text is unusable.
    Required,
}
