//! News from the published list and configuration.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::mesh::{EntryFault, Era, Instance, MeshConfig, Position};

/// One thing that has changed.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration was published.
    Config(Arc<MeshConfig>),
    /// An entry of an instance was written.
    Instance(Instance),
    /// An entry of an instance was removed.
    InstanceGone(SmolStr),
    /// An entry was written that names no instance.
    BadEntry {
        /// The id under which it stands.
        id: SmolStr,
        /// Why.
        fault: EntryFault,
        /// The fault in detail, for the log.
        detail: String,
    },
}

/// What one read of the publisher brought.
#[derive(Clone, Debug, Default)]
pub struct UpdateBatch {
    /// Where the publisher stands after these updates.
    pub position: Position,
    /// The updates in their order.
    pub updates: Vec<Update>,
    /// Configurations that could not be decoded, with the reason; they change nothing.
    pub faults: Vec<String>,
    /// Key after which the next page begins; `None` where this was the last one.
    pub next_page: Option<String>,
}

impl UpdateBatch {
    /// These updates as those of an era. Bodies name revisions only, and stand for what they meant when they were read.
    pub fn in_era(mut self, era: Era) -> Self {
        self.position.era = era;
        for update in &mut self.updates {
            if let Update::Instance(instance) = update {
                instance.created.era = era;
            }
        }
        self
    }
}
