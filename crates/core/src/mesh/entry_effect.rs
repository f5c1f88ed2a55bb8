//! What an entry of the published list changed in a node's beliefs.

use smol_str::SmolStr;

/// After an entry was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutEffect {
    /// Nothing that matters.
    Same,
    /// The instance is new, or its state or address is.
    Changed,
    /// Its target has started again under the id that it had.
    Restarted,
    /// It is new, and an older instance that had its address has ended.
    Superseded(SmolStr),
}

/// After an entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GoneEffect {
    /// The instance is taken as gone.
    Gone,
    /// It goes on being used: its entry has had no time to come back after the publisher's trouble.
    Held,
    /// It was not known.
    Unknown,
}
