//! Instances whose entries were removed although they had not said that they leave.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::mesh::Instance;

/// How long such an instance is remembered. A node notices that it is cut off from the publisher when its watch ends, some
/// seconds after the entry of its target may have lapsed, and says so with the next request that it sends.
const REMEMBERED: Duration = Duration::from_secs(10);

/// Instances remembered at most; bounds memory where a fleet is replaced as a whole.
const MOST: usize = 256;

/// What was removed of late, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Lapsed {
    removed: VecDeque<(Instance, Instant)>,
}

impl Lapsed {
    /// An entry was removed without a word of its instance.
    pub(super) fn add(&mut self, instance: Instance, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REMEMBERED;
        self.removed.retain(|(_, at)| is_fresh(*at));
        if self.removed.len() >= MOST {
            self.removed.pop_front();
        }
        self.removed.push_back((instance, now));
    }

    /// The instance with this id, where its entry was removed of late.
    pub(super) fn take(&mut self, id: &str, now: Instant) -> Option<Instance> {
        let at = self.removed.iter().position(|(other, _)| other.id == id)?;
        let (instance, since): (Instance, Instant) = self.removed.remove(at)?;
        let age = now.saturating_duration_since(since);
        (age < REMEMBERED).then_some(instance)
    }
}
