//! Effects of changes in the published list on the known instances.

use smol_str::SmolStr;

/// Effect of a written entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutEffect {
    /// No relevant change.
    Unchanged,
    /// The instance is new, or its state, service or address has changed.
    Changed,
    /// The target was restarted with the same id.
    Restarted,
    /// The instance is new and replaces an older one at the same address, whose id is given and which has ended.
    Superseded(SmolStr),
}

/// Effect of a removed entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoveEffect {
    /// The instance was removed.
    Removed,
    /// The instance remains in use for now, because its entry may have lapsed although the instance is alive: during or
    /// shortly after an outage of the publisher, or while its host can't reach the publisher.
    Held,
    /// The instance was not known.
    Unknown,
}
