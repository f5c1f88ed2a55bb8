//! Decides when a starting node has caught up and may serve.

use std::time::{Duration, Instant};

use super::{Digest, Replica, Revision};

/// Time limits of the start phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartUpConfig {
    /// Time to wait for the platform before the replicas of peers alone suffice.
    pub platform_wait: Duration,
    /// Time to wait for peers before the platform's answer alone suffices. The platform may be stale.
    pub peer_wait: Duration,
    /// Number of peer digests after which the node waits for no further peers.
    pub sufficient_peers: usize,
    /// Time after which a known revision that could not be fetched no longer prevents the node from serving.
    pub catch_up_timeout: Duration,
}

impl Default for StartUpConfig {
    fn default() -> Self {
        Self {
            platform_wait: Duration::from_secs(5),
            peer_wait: Duration::from_secs(2),
            sufficient_peers: 2,
            catch_up_timeout: Duration::from_secs(15),
        }
    }
}

/// Tracks the revisions that the platform and peers hold, and determines when this node has caught up with the highest.
#[derive(Clone, Debug)]
pub struct StartUp {
    cfg: StartUpConfig,
    started: Instant,
    platform: Option<Revision>,
    peers: usize,
    highest: Revision,
    complete: Revision,
    local_highest: Revision,
    local_complete: Revision,
}

impl StartUp {
    /// Creates the state of a node that started at `now` and holds no entries.
    pub fn new(cfg: StartUpConfig, now: Instant) -> Self {
        Self {
            cfg,
            started: now,
            platform: None,
            peers: 0,
            highest: Revision(0),
            complete: Revision(0),
            local_highest: Revision(0),
            local_complete: Revision(0),
        }
    }

    /// Records the highest revision that the platform returned in answer to a read.
    pub fn record_platform_revision(&mut self, revision: Revision) {
        self.platform = self.platform.max(Some(revision));
        self.complete = self.complete.max(revision);
    }

    /// Records the digest of a serving peer. Must be called once per peer, and not for peers that are starting
    /// themselves.
    pub fn record_peer_digest(&mut self, digest: &Digest) {
        self.peers += 1;
        self.highest = self.highest.max(digest.highest);
        self.complete = self.complete.max(digest.complete);
    }

    /// Updates the revisions of the local replica after it has changed.
    pub fn update_replica(&mut self, replica: &Replica) {
        self.local_highest = replica.digest().highest;
        self.local_complete = replica.complete();
    }

    /// Whether this node may serve.
    pub fn is_ready(&self, now: Instant) -> bool {
        // Without any document, a node would assign every call the rank and limits that apply if there is none.
        if self.platform.is_none() && self.peers == 0 {
            return false;
        }
        let waited = now.saturating_duration_since(self.started);
        let platform_done = self.platform.is_some() || waited >= self.cfg.platform_wait;
        // The platform's answer may be stale. A restarted node that relied on it alone would apply an older document
        // than its peers.
        let peers_done = self.peers >= self.cfg.sufficient_peers || waited >= self.cfg.peer_wait;
        if !platform_done || !peers_done {
            return false;
        }
        self.has_caught_up()
            || (waited >= self.cfg.catch_up_timeout && self.local_highest > Revision(0))
    }

    fn has_caught_up(&self) -> bool {
        self.local_highest >= self.highest && self.local_complete >= self.complete
    }
}
