//! Published entries whose address belongs to a newer instance.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::collections::{Map, Set};
use crate::mesh::Instance;

/// Entries that are not used as long as another instance has their address. A running target writes its entry only when
/// it changes, so a node that dropped the entry would not learn of the target again.
#[derive(Clone, Debug, Default)]
pub(super) struct SupersededEntries {
    by_id: Map<SmolStr, Instance>,
}

impl SupersededEntries {
    /// Keeps an entry. Without a start time the id belongs to a single process, which has ended.
    pub(super) fn add(&mut self, instance: Instance) {
        if instance.started_at_ms.is_some() {
            self.by_id.insert(instance.id.clone(), instance);
        }
    }

    /// Forgets an entry that is in use or no longer published.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Forgets the entries that are not listed.
    pub(super) fn retain_listed(&mut self, listed: &Set<SmolStr>) {
        self.by_id.retain(|id, _| listed.contains(id));
    }

    /// Takes the entry at an address that was written last.
    pub(super) fn take_at(&mut self, address: SocketAddr) -> Option<Instance> {
        let at_address = self.by_id.values().filter(|other| other.address == address);
        let id = at_address.max_by_key(|other| other.written)?.id.clone();
        self.by_id.remove(&id)
    }
}
