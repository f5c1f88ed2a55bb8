//! What changed in the platform's list between two revisions, as one node passes it to another.

use serde::{Deserialize, Serialize};

use crate::dissemination::Revision;
use crate::id::NodeName;

use super::InstanceEntry;

/// The changes of the list after one revision up to another.
///
/// A receiver whose list is at `from` or later has the list of revision `to` after applying it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Revision after which the changes begin; 0 means that `changed` is the whole list.
    pub from: Revision,
    /// Revision of the list after the changes.
    pub to: Revision,
    /// Entries that are new or changed.
    pub changed: Vec<InstanceEntry>,
    /// Nodes that are no longer listed.
    pub removed: Vec<NodeName>,
}
