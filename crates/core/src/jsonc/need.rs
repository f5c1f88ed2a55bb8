//! Whether a text is of use without a key.

/// What an absent or wrong value means for the whole text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A default serves in its place.
    Optional,
    /// Nothing can serve in its place.
    Required,
}
