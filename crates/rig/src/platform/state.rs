//! Stores of the configuration entries and the instance list.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::platform::{ConfigAnswer, ConfigEntry, Instance, InstancesAnswer};

/// Entries of the configuration service with their revisions.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    revision: u64,
    entries: BTreeMap<SmolStr, ConfigEntry>,
}

impl ConfigStore {
    /// Writes a value and returns the revision of the write.
    pub fn write(&mut self, key: SmolStr, value: SmolStr) -> u64 {
        self.revision += 1;
        let entry = ConfigEntry {
            key: key.clone(),
            revision: self.revision,
            value,
        };
        self.entries.insert(key, entry);
        self.revision
    }

    /// Returns the entries that are newer than revision `after`.
    pub fn read(&self, after: u64) -> ConfigAnswer {
        let newer = self.entries.values().filter(|entry| entry.revision > after);
        ConfigAnswer {
            revision: self.revision,
            entries: newer.cloned().collect(),
        }
    }
}

/// Instance list with its revision.
#[derive(Clone, Debug, Default)]
pub struct InstanceStore {
    revision: u64,
    instances: Vec<Instance>,
}

impl InstanceStore {
    /// Replaces the list and returns its new revision.
    pub fn write(&mut self, instances: Vec<Instance>) -> u64 {
        self.revision += 1;
        self.instances = instances;
        self.revision
    }

    /// Returns the list if it is newer than revision `after`, otherwise an empty list.
    pub fn read(&self, after: u64) -> InstancesAnswer {
        let instances = if self.revision > after {
            self.instances.clone()
        } else {
            Vec::new()
        };
        InstancesAnswer {
            revision: self.revision,
            instances,
        }
    }

    /// Whether the list is newer than revision `after`.
    pub fn is_newer(&self, after: u64) -> bool {
        self.revision > after
    }
}
