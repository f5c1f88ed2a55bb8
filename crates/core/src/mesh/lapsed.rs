//! Instances whose entries were removed although they had not announced that they leave.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::mesh::Instance;

/// How long such an instance is retained. A node detects that it can't reach the publisher when its watch ends,
/// which may be several seconds after the lease of its target's entry expired, and reports it with the next request
/// that it sends.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of retained instances; bounds memory when a whole fleet is replaced.
const MAX_RETAINED: usize = 256;

/// Recently removed instances, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct LapsedInstances {
    removed: VecDeque<(Instance, Instant)>,
}

impl LapsedInstances {
    /// Adds an instance whose entry was removed without a prior leave announcement.
    pub(super) fn add(&mut self, instance: Instance, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.removed.retain(|(_, at)| is_fresh(*at));
        if self.removed.len() >= MAX_RETAINED {
            self.removed.pop_front();
        }
        self.removed.push_back((instance, now));
    }

    /// Takes the instance with this id, if its entry was removed recently.
    pub(super) fn take(&mut self, id: &str, now: Instant) -> Option<Instance> {
        let at = self.removed.iter().position(|(other, _)| other.id == id)?;
        let (instance, since): (Instance, Instant) = self.removed.remove(at)?;
        let age = now.saturating_duration_since(since);
        (age < RETENTION).then_some(instance)
    }
}
