//! When a node that starts knows enough to serve.

use std::time::{Duration, Instant};

use super::{Digest, Replica, Revision};

/// Bounds of the wait at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartUpConfig {
    /// Time given to the platform before the copies of peers alone are enough.
    pub platform_wait: Duration,
    /// Time given to peers before the platform's word alone is enough; the platform may be stale.
    pub peer_wait: Duration,
    /// Number of peers after which no further ones are waited for.
    pub enough_peers: usize,
    /// Time after which a revision that was heard of but can't be had no longer keeps the node from serving.
    pub give_up: Duration,
}

impl Default for StartUpConfig {
    fn default() -> Self {
        Self {
            platform_wait: Duration::from_secs(5),
            peer_wait: Duration::from_secs(2),
            enough_peers: 2,
            give_up: Duration::from_secs(15),
        }
    }
}

/// Collects what the platform and peers hold, and tells when this node has the highest of it.
#[derive(Clone, Debug)]
pub struct StartUp {
    cfg: StartUpConfig,
    started: Instant,
    platform: Option<Revision>,
    peers: usize,
    highest: Revision,
    complete: Revision,
    have_highest: Revision,
    have_complete: Revision,
}

impl StartUp {
    /// A node that started at `now` and holds nothing.
    pub fn new(cfg: StartUpConfig, now: Instant) -> Self {
        Self {
            cfg,
            started: now,
            platform: None,
            peers: 0,
            highest: Revision(0),
            complete: Revision(0),
            have_highest: Revision(0),
            have_complete: Revision(0),
        }
    }

    /// The platform answered a read with this highest revision.
    pub fn heard_platform(&mut self, revision: Revision) {
        self.platform = self.platform.max(Some(revision));
        self.complete = self.complete.max(revision);
    }

    /// A peer that serves sent its digest. To be given once for each peer, and not
    /// for peers that are starting themselves.
    pub fn heard_peer(&mut self, digest: &Digest) {
        self.peers += 1;
        self.highest = self.highest.max(digest.highest);
        self.complete = self.complete.max(digest.complete);
    }

    /// This node's replica has changed.
    pub fn have(&mut self, replica: &Replica) {
        self.have_highest = replica.digest().highest;
        self.have_complete = replica.complete();
    }

    /// Whether this node may serve.
    pub fn ready(&self, now: Instant) -> bool {
        // A node that served without any document would give every call the rank and limits of none.
        if self.platform.is_none() && self.peers == 0 {
            return false;
        }
        let waited = now.saturating_duration_since(self.started);
        let platform_done = self.platform.is_some() || waited >= self.cfg.platform_wait;
        // The platform's answer may be stale: a restarted node that took it alone would act on an older document than
        // its peers do.
        let peers_done = self.peers >= self.cfg.enough_peers || waited >= self.cfg.peer_wait;
        if !platform_done || !peers_done {
            return false;
        }
        self.has_highest() || (waited >= self.cfg.give_up && self.have_highest > Revision(0))
    }

    fn has_highest(&self) -> bool {
        self.have_highest >= self.highest && self.have_complete >= self.complete
    }
}
