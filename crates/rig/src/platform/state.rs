//! The platform's stores.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::platform::{ConfigAnswer, ConfigEntry, Instance, InstancesAnswer};

/// Keys, values and revisions of the configuration service.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    revision: u64,
    entries: BTreeMap<SmolStr, ConfigEntry>,
}

impl ConfigStore {
    /// Writes a key and returns the revision of the write.
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

    /// What a reader that has seen `after` is told.
    pub fn read(&self, after: u64) -> ConfigAnswer {
        let newer = self.entries.values().filter(|entry| entry.revision > after);
        ConfigAnswer {
            revision: self.revision,
            entries: newer.cloned().collect(),
        }
    }
}

/// The instance list and its revision.
#[derive(Clone, Debug, Default)]
pub struct InstanceStore {
    revision: u64,
    instances: Vec<Instance>,
}

impl InstanceStore {
    /// Replaces the list and returns its revision.
    pub fn write(&mut self, instances: Vec<Instance>) -> u64 {
        self.revision += 1;
        self.instances = instances;
        self.revision
    }

    /// What a reader that has seen `after` is told.
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

    /// Whether a reader that has seen `after` has missed a change.
    pub fn is_newer(&self, after: u64) -> bool {
        self.revision > after
    }
}
