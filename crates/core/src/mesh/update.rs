//! Updates of the published instance list and configuration.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::mesh::{EntryFault, Era, Instance, MeshConfig, Position};

/// A single published change.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration was published.
    Config(Arc<MeshConfig>),
    /// The entry of an instance was written.
    Instance(Instance),
    /// The entry of an instance was removed.
    InstanceRemoved(SmolStr),
    /// An entry was written that does not describe a usable instance.
    InvalidEntry {
        /// Id of the entry.
        id: SmolStr,
        /// Category of the error.
        fault: EntryFault,
        /// Details of the error, for the log.
        detail: String,
    },
}

/// The result of one read from the publisher.
#[derive(Clone, Debug, Default)]
pub struct UpdateBatch {
    /// Position of the publisher after these updates.
    pub position: Position,
    /// The updates in the order in which they were published.
    pub updates: Vec<Update>,
    /// Decoding errors of published configurations; such configurations have no effect.
    pub faults: Vec<String>,
    /// Key after which the next page begins; `None` for the last page.
    pub next_page: Option<String>,
}

impl UpdateBatch {
    /// Assigns the updates to an era. Response bodies contain only revisions, which refer to the era at the time of the
    /// read.
    pub fn with_era(mut self, era: Era) -> Self {
        self.position.era = era;
        for update in &mut self.updates {
            if let Update::Instance(instance) = update {
                instance.created.era = era;
                instance.written.era = era;
            }
        }
        self
    }
}
