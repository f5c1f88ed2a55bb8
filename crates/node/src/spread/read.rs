//! Reads of the configuration service and the instance list from the platform.

use std::time::Duration;

use coltsfootport_core::dissemination::{Entry, Key, NextRead, Revision};

use super::platform_client::{ConfigEntry, ConfigPage, InstancePage};
use super::{SpreadMessage, SpreadTask};
use crate::metrics::PlatformReadResult;

impl SpreadTask {
    /// Starts the platform reads that are due.
    pub(super) fn read_if_due(&mut self) {
        let now = self.now();
        let watch = self.setup.reader.watch_wait;
        if let Some(wait) = due_wait(self.config_reads.next_read(now, &mut self.rng), now, watch)
            && self.config_reads.try_begin_read()
        {
            self.read_config(wait);
        }
        if let Some(wait) = due_wait(self.list_reads.next_read(now, &mut self.rng), now, watch)
            && self.list_reads.try_begin_read()
        {
            self.read_list(wait);
        }
    }

    fn read_config(&self, wait: Duration) {
        let (platform, tx) = (self.setup.platform, self.setup.tx.clone());
        let after = self.replica.complete().0;
        tokio::spawn(async move {
            let page = platform.config(after, wait).await.ok();
            let _ = tx.send(SpreadMessage::ConfigRead(page));
        });
    }

    fn read_list(&self, wait: Duration) {
        let (platform, tx) = (self.setup.platform, self.setup.tx.clone());
        let after = self.view.revision().0;
        tokio::spawn(async move {
            let page = platform.instances(after, wait).await.ok();
            let _ = tx.send(SpreadMessage::ListRead(page));
        });
    }

    pub(super) fn handle_config_read(&mut self, page: Option<ConfigPage>) {
        let now = self.now();
        self.record_read(page.as_ref().map(|page| !page.entries.is_empty()));
        let Some(page) = page else {
            self.config_reads.read_failed(now);
            return;
        };
        self.config_reads.read_succeeded(now);
        let revision = Revision(page.revision);
        self.start_up.record_platform_revision(revision);
        let entries = page.entries.into_iter().map(Entry::from).collect();
        self.apply(entries, Some(revision));
    }

    pub(super) fn handle_list_read(&mut self, page: Option<InstancePage>) {
        let now = self.now();
        self.record_read(page.as_ref().map(|page| !page.instances.is_empty()));
        let Some(page) = page else {
            self.list_reads.read_failed(now);
            return;
        };
        self.list_reads.read_succeeded(now);
        if !page.instances.is_empty() {
            self.view
                .apply_list(Revision(page.revision), page.instances, now);
            self.view_changed();
        }
    }

    /// Records the result of a read: whether it returned changes, or `None` if it failed.
    fn record_read(&mut self, has_changes: Option<bool>) {
        let result = match has_changes {
            Some(true) => PlatformReadResult::Updated,
            Some(false) => PlatformReadResult::Unchanged,
            None => PlatformReadResult::Failed,
        };
        self.setup.metrics.documents.record_read(result);
        self.reachable = has_changes.is_some();
        if self.reachable {
            self.last_read = Some(self.now());
        }
    }
}

/// Returns how long the platform may hold a read that is due now, or `None` if no read is due.
fn due_wait(next: NextRead, now: std::time::Instant, watch: Duration) -> Option<Duration> {
    match next {
        NextRead::Watch => Some(watch),
        NextRead::At(at) if at <= now => Some(Duration::ZERO),
        NextRead::At(_) => None,
    }
}

impl From<ConfigEntry> for Entry {
    fn from(entry: ConfigEntry) -> Self {
        Self {
            key: Key::from(entry.key.as_str()),
            revision: Revision(entry.revision),
            value: std::sync::Arc::from(entry.value),
        }
    }
}
