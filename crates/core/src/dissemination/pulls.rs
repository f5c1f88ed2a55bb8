//! Pending pulls, deduplicated so that each version is fetched once.

use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::id::NodeName;

use super::{Key, Revision};

/// Settings of pulls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullConfig {
    /// Time after which an unanswered pull is retried with the next node that holds the version.
    pub timeout: Duration,
    /// Maximum number of fallback sources remembered per version.
    pub max_fallback_sources: usize,
}

impl Default for PullConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(500),
            max_fallback_sources: 3,
        }
    }
}

/// Pending pulls of versions that were announced to this node.
#[derive(Clone, Debug, Default)]
pub struct Pulls {
    cfg: PullConfig,
    pending: Map<Key, PendingPull>,
}

#[derive(Clone, Debug)]
struct PendingPull {
    revision: Revision,
    requested_at: Instant,
    fallback_sources: Vec<NodeName>,
}

impl Pulls {
    /// Creates an empty set of pulls.
    pub fn new(cfg: PullConfig) -> Self {
        Self {
            cfg,
            pending: Map::default(),
        }
    }

    /// Requests a version that a peer holds and this node lacks. Returns whether to send a pull to that peer now.
    ///
    /// While a pull of the same or a higher version is pending, the request joins it. A peer that holds the same
    /// version becomes a fallback source, which is asked only if no answer arrives.
    pub fn request(
        &mut self,
        key: &Key,
        revision: Revision,
        from: &NodeName,
        now: Instant,
    ) -> bool {
        if let Some(pending) = self.pending.get_mut(key)
            && pending.revision >= revision
        {
            if pending.revision == revision
                && pending.fallback_sources.len() < self.cfg.max_fallback_sources
            {
                pending.fallback_sources.push(from.clone());
            }
            return false;
        }
        self.pending.insert(
            key.clone(),
            PendingPull {
                revision,
                requested_at: now,
                fallback_sources: Vec::new(),
            },
        );
        true
    }

    /// Records that a version arrived, whether by pull, push or read.
    pub fn record_arrival(&mut self, key: &Key, revision: Revision) {
        if self
            .pending
            .get(key)
            .is_some_and(|pending| pending.revision <= revision)
        {
            self.pending.remove(key);
        }
    }

    /// Returns the timed-out pulls to retry with another source. Those without one are dropped; the digest exchange
    /// recovers their versions.
    pub fn take_retries(&mut self, now: Instant) -> Vec<PullRetry> {
        let timeout = self.cfg.timeout;
        let mut retries = Vec::new();
        self.pending.retain(|key, pending| {
            if now.saturating_duration_since(pending.requested_at) < timeout {
                return true;
            }
            let Some(from) = pending.fallback_sources.pop() else {
                return false;
            };
            pending.requested_at = now;
            retries.push(PullRetry {
                from,
                key: key.clone(),
            });
            true
        });
        retries
    }
}

/// A pull to retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullRetry {
    /// Node to pull from.
    pub from: NodeName,
    /// Entry to pull.
    pub key: Key,
}
