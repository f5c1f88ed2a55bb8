//! Published entries that do not describe a usable instance.

use coltsfootport_core::collections::Map;
use coltsfootport_core::mesh::{EntryFault, Instance, MeshConfig};
use smol_str::SmolStr;

/// Published entries that were rejected. They are kept until they are corrected or removed.
#[derive(Clone, Debug, Default)]
pub struct RejectedEntries {
    faults: Map<SmolStr, EntryFault>,
    /// Entries whose only fault is that no configuration names their service.
    unknown_service: Map<SmolStr, Instance>,
}

impl RejectedEntries {
    /// Records a fault. Returns whether it differs from the entry's previous state, so that each fault is logged once.
    pub fn record_fault(&mut self, id: &SmolStr, fault: EntryFault) -> bool {
        self.faults.insert(id.clone(), fault) != Some(fault)
    }

    /// Holds an entry until a configuration names its service.
    pub fn hold(&mut self, instance: Instance) {
        self.unknown_service.insert(instance.id.clone(), instance);
    }

    /// Forgets an entry that was corrected or removed.
    pub fn remove(&mut self, id: &SmolStr) {
        self.faults.remove(id);
        self.unknown_service.remove(id);
    }

    /// Removes and returns the held entries whose service is named by the new configuration.
    pub fn take_named(&mut self, config: &MeshConfig) -> Vec<Instance> {
        let held = std::mem::take(&mut self.unknown_service);
        let (named, unknown): (Map<_, _>, Map<_, _>) = held
            .into_iter()
            .partition(|(_, instance)| config.has_service(&instance.service));
        self.unknown_service = unknown;
        self.faults.retain(|id, _| !named.contains_key(id));
        named.into_values().collect()
    }
}
