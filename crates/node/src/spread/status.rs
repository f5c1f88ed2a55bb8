//! Status of documents and platform reads for the operators' listener.

use coltsfootport_core::dissemination::Key;
use smol_str::SmolStr;

use super::SpreadTask;
use super::task::service_of;
use crate::operators::{DocumentStatus, PlatformStatus};

impl SpreadTask {
    /// Returns the state of every document, sorted by service.
    pub(super) fn document_status(&self) -> Vec<DocumentStatus> {
        let mut documents: Vec<_> = self
            .documents
            .keys()
            .filter_map(|key| self.status_for_key(key))
            .collect();
        documents.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        documents
    }

    /// Returns the state of platform reads as seen by this node.
    pub(super) fn platform_status(&self) -> PlatformStatus {
        let now = self.now();
        let age = self
            .last_read
            .map(|at| now.saturating_duration_since(at).as_millis() as u64);
        PlatformStatus {
            reachable: self.reachable,
            last_read_ms: age,
            revision: self.replica.revision().0,
            reader: self.is_reader(),
        }
    }

    fn status_for_key(&self, key: &Key) -> Option<DocumentStatus> {
        let rejected = self.documents.rejected(key);
        let faults = rejected
            .map(|rejected| rejected.faults.as_slice())
            .unwrap_or_default();
        Some(DocumentStatus {
            service: service_of(key)?,
            revision: self.replica.get(key).map_or(0, |entry| entry.revision.0),
            in_force: self.documents.get(key).map(|version| version.revision.0),
            rejected: faults
                .iter()
                .map(|fault| SmolStr::from(fault.to_string()))
                .collect(),
        })
    }
}
