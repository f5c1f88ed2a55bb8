//! News from the published list and configuration.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::mesh::{Instance, MeshConfig};

/// One thing that has changed.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration was published.
    Config(Arc<MeshConfig>),
    /// An entry of an instance was written.
    Instance(Instance),
    /// An entry of an instance was removed.
    InstanceGone(SmolStr),
}

/// What one read of the publisher brought.
#[derive(Clone, Debug, Default)]
pub struct UpdateBatch {
    /// Revision of the publisher after these updates.
    pub revision: u64,
    /// The updates in their order.
    pub updates: Vec<Update>,
    /// Entries that could not be decoded, with the reason; they change nothing.
    pub faults: Vec<String>,
    /// Key after which the next page begins; `None` where this was the last one.
    pub next_page: Option<String>,
}
