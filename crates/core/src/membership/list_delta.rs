//! Changes of the platform's list between two revisions, as exchanged between nodes.

use serde::{Deserialize, Serialize};

use crate::dissemination::Revision;
use crate::id::NodeName;

use super::InstanceEntry;

/// Changes of the list between two revisions.
///
/// Applying the delta to a list of revision `from` or later results in the list of revision `to`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Base revision of the changes; 0 means that `changed` is the complete list.
    pub from: Revision,
    /// Revision of the list after the changes.
    pub to: Revision,
    /// New and changed entries.
    pub changed: Vec<InstanceEntry>,
    /// Nodes that are no longer listed.
    pub removed: Vec<NodeName>,
}
