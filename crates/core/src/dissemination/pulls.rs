//! Pulls under way, joined so that each version is fetched once.

use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::id::NodeName;

use super::{Key, Revision};

/// Settings of pulls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullConfig {
    /// Time after which a pull without an answer is tried at the next node that has the version.
    pub timeout: Duration,
    /// Further nodes remembered for each version.
    pub sources: usize,
}

impl Default for PullConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(500),
            sources: 3,
        }
    }
}

/// Versions that this node has been told of and has asked for.
#[derive(Clone, Debug, Default)]
pub struct Pulls {
    cfg: PullConfig,
    pending: Map<Key, Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    revision: Revision,
    asked_at: Instant,
    others: Vec<NodeName>,
}

impl Pulls {
    /// No pull under way.
    pub fn new(cfg: PullConfig) -> Self {
        Self {
            cfg,
            pending: Map::default(),
        }
    }

    /// A peer holds a version that this node lacks. Returns whether to ask that peer for it now.
    ///
    /// While the same version or a higher one has been asked for, the request joins that one; the peer is asked only if
    /// no answer comes.
    pub fn want(&mut self, key: &Key, revision: Revision, from: &NodeName, now: Instant) -> bool {
        if let Some(pending) = self.pending.get_mut(key)
            && pending.revision >= revision
        {
            if pending.revision == revision && pending.others.len() < self.cfg.sources {
                pending.others.push(from.clone());
            }
            return false;
        }
        self.pending.insert(
            key.clone(),
            Pending {
                revision,
                asked_at: now,
                others: Vec::new(),
            },
        );
        true
    }

    /// A version has arrived by any way.
    pub fn arrived(&mut self, key: &Key, revision: Revision) {
        if self
            .pending
            .get(key)
            .is_some_and(|pending| pending.revision <= revision)
        {
            self.pending.remove(key);
        }
    }

    /// The pulls to try again now, as node to ask and key; those without another source are given up to the digests.
    pub fn overdue(&mut self, now: Instant) -> Vec<Retry> {
        let timeout = self.cfg.timeout;
        let mut retries = Vec::new();
        self.pending.retain(|key, pending| {
            if now.saturating_duration_since(pending.asked_at) < timeout {
                return true;
            }
            let Some(from) = pending.others.pop() else {
                return false;
            };
            pending.asked_at = now;
            retries.push(Retry {
                from,
                key: key.clone(),
            });
            true
        });
        retries
    }
}

/// A pull to try again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The node to ask.
    pub from: NodeName,
    /// The entry to ask for.
    pub key: Key,
}
