//! Instances that have announced in a response that they are leaving.

use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::mesh::Instance;

/// Number of instances that are remembered; the oldest ones have ended long before.
const MAX_REMEMBERED: usize = 256;

/// Remembers instances that are leaving. Their published entries may say otherwise for as long as the publisher is
/// unreachable, and may be removed and written again.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedLeaving {
    /// Id and start of each instance, oldest first.
    instances: VecDeque<(SmolStr, Option<u64>)>,
}

impl AnnouncedLeaving {
    /// Remembers an instance. Returns `false` if it was remembered already.
    pub fn add(&mut self, id: &SmolStr, started_at_ms: Option<u64>) -> bool {
        let process = (id.clone(), started_at_ms);
        if self.instances.contains(&process) {
            return false;
        }
        if self.instances.len() >= MAX_REMEMBERED {
            self.instances.pop_front();
        }
        self.instances.push_back(process);
        true
    }

    /// Whether this process of an instance has announced that it is leaving.
    pub fn contains(&self, instance: &Instance) -> bool {
        let started = instance.started_at_ms;
        let mut of_id = self.instances.iter().filter(|(id, _)| *id == instance.id);
        of_id.any(|(_, known)| started.is_none() || started == *known)
    }
}
