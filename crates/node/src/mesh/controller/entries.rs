//! Published entries that name no instance.

use coltsfootport_core::collections::Map;
use coltsfootport_core::mesh::{EntryFault, Instance, MeshConfig};
use smol_str::SmolStr;

/// Entries that name no instance, as long as they are published.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    bad: Map<SmolStr, EntryFault>,
    /// Those that would be good if a configuration named their service.
    unnamed: Map<SmolStr, Instance>,
}

impl Entries {
    /// Takes in a fault; whether the entry had another one before or none, so that each is told once.
    pub fn turned_bad(&mut self, id: &SmolStr, fault: EntryFault) -> bool {
        self.bad.insert(id.clone(), fault) != Some(fault)
    }

    /// Keeps an entry until a configuration names its service.
    pub fn keep(&mut self, instance: Instance) {
        self.unnamed.insert(instance.id.clone(), instance);
    }

    /// An entry was written well, or removed.
    pub fn forget(&mut self, id: &SmolStr) {
        self.bad.remove(id);
        self.unnamed.remove(id);
    }

    /// The kept entries whose service a new configuration names; they are not kept any more.
    pub fn take_named(&mut self, config: &MeshConfig) -> Vec<Instance> {
        let kept = std::mem::take(&mut self.unnamed);
        let (named, unnamed): (Map<_, _>, Map<_, _>) = kept
            .into_iter()
            .partition(|(_, instance)| config.has_service(&instance.service));
        self.unnamed = unnamed;
        self.bad.retain(|id, _| !named.contains_key(id));
        named.into_values().collect()
    }
}
