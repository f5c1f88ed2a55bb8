//! Published entries: which start of a target they belong to, and which of them are used.

use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;

use super::{Fleet, InstanceKey};
use crate::collections::Set;
use crate::mesh::{Instance, MemberState, PutEffect, RemoveEffect};

impl Fleet {
    /// Inserts or updates an instance from its published entry. An entry that was written before the known one has no
    /// effect, since reads from the publisher can be stale.
    ///
    /// An address belongs to one process at a time, so the older of two instances at an address has ended and is
    /// removed. Its entry remains published until its lease expires; without this rule, most requests after a power
    /// failure of all machines would be sent to ended instances for several seconds and rejected by their successors.
    /// If the entry outlasts that of its successor, the instance is used again.
    pub fn put(&mut self, mut instance: Instance, now: Instant) -> PutEffect {
        instance.leaving |= self.announced_leaving.contains(&instance);
        if self.is_superseded(&instance) {
            self.superseded.add(instance);
            return PutEffect::Unchanged;
        }
        self.restored.entry_written(&instance);
        match self.by_id.get(&instance.id).copied() {
            Some(key) => self.update(key, instance, now),
            None => self.add(instance, now),
        }
    }

    fn add(&mut self, instance: Instance, now: Instant) -> PutEffect {
        if !instance.leaving && self.ended_starts.contains(&instance) {
            return self.hold(instance, now);
        }
        let ended = self.supersede(instance.address, now);
        self.superseded.remove(&instance.id);
        self.insert_published(instance, now);
        ended.map_or(PutEffect::Changed, PutEffect::Superseded)
    }

    fn update(&mut self, key: InstanceKey, instance: Instance, now: Instant) -> PutEffect {
        let known = &self.members[key].instance;
        if instance.written < known.written {
            return PutEffect::Unchanged;
        }
        let is_different_start = is_different_start(&instance, known);
        let is_moved = known.service != instance.service || known.address != instance.address;
        let is_late = match is_different_start {
            true => self.ended_starts.contains(&instance),
            false => instance.started_at_ms.is_some() && known.leaving && !instance.leaving,
        };
        if is_late {
            return self.hold(instance, now);
        }
        if is_different_start {
            self.ended_starts.add(&self.members[key].instance);
            // Load, failure rate and warm-up of the previous process do not apply to the new one.
            self.remove(key);
            self.insert_published(instance, now);
            return PutEffect::Restarted;
        }
        if is_moved {
            self.remove(key);
            self.insert_published(instance, now);
            return PutEffect::Changed;
        }
        let member = &mut self.members[key];
        let member_state = published_state(&instance);
        let changed = member.member_state != member_state;
        member.instance = instance;
        member.member_state = member_state;
        match changed {
            true => PutEffect::Changed,
            false => PutEffect::Unchanged,
        }
    }

    /// Ignores an entry for a while that is likely a late write: of a process that has ended, or from before its process
    /// announced its end. The running process writes its entry again within this time.
    fn hold(&mut self, instance: Instance, now: Instant) -> PutEffect {
        let until = now + self.cfg.hold_of(&instance);
        self.restored.ignore_until(instance, until);
        PutEffect::Unchanged
    }

    /// Removes the instance whose entry was overwritten with an invalid one; a running instance writes its entry again.
    /// Returns whether the instance was known.
    pub fn remove_invalid(&mut self, id: &str) -> bool {
        let key = self.by_id.get(id).copied();
        key.and_then(|key| self.remove(key)).is_some()
    }

    /// Handles the removal of a published entry.
    pub fn entry_removed(&mut self, id: &str, now: Instant) -> RemoveEffect {
        self.restored.entry_removed(id);
        self.ended_starts.forget(id);
        self.superseded.remove(id);
        let Some(key) = self.by_id.get(id).copied() else {
            self.restored.instance_ended(SmolStr::new(id), now);
            return RemoveEffect::Unknown;
        };
        let member = &mut self.members[key];
        let held_until =
            self.publisher
                .removal_deadline(member.member_state, self.cfg.lapse_hold, now);
        let was_active = member.member_state.accepts_requests();
        let partitioned = was_active && member.stats.is_partitioned(now);
        let held_until = held_until.or(partitioned.then_some(now + self.cfg.lapse_hold));
        if let Some(until) = held_until {
            member.member_state = MemberState::Missing { until };
            return RemoveEffect::Held;
        }
        if let Some(instance) = self.remove_ended(key, now)
            && was_active
        {
            self.lapsed.add(instance, now);
        }
        RemoveEffect::Removed
    }

    /// Applies a complete list; instances missing from it are treated as removed entries. Returns the ids of the
    /// instances that ended.
    pub fn replace_all(&mut self, listed: Vec<Instance>, now: Instant) -> Vec<SmolStr> {
        let ids: Set<SmolStr> = listed.iter().map(|instance| instance.id.clone()).collect();
        let mut ended = Vec::new();
        self.restored.retain_listed(&ids);
        self.superseded.retain_listed(&ids);
        for instance in listed {
            if self.restored.is_ignored(&instance) {
                continue;
            }
            if let PutEffect::Superseded(older) = self.put(instance, now) {
                ended.push(older);
            }
        }
        let known = self.by_id.keys();
        let missing: Vec<SmolStr> = known.filter(|id| !ids.contains(*id)).cloned().collect();
        for id in missing {
            if self.entry_removed(&id, now) == RemoveEffect::Removed {
                ended.push(id);
            }
        }
        ended
    }

    /// Applies the list of a publisher that was restored from an older copy. Returns the ids of the instances that
    /// ended.
    ///
    /// Instances write again what the copy lacks. An outdated entry does not bring back an instance that is leaving
    /// or has ended.
    pub fn restore(&mut self, listed: Vec<Instance>, now: Instant) -> Vec<SmolStr> {
        self.restart_missing_timers(now);
        let (outdated, current): (Vec<Instance>, Vec<Instance>) = listed
            .into_iter()
            .partition(|instance| self.is_outdated(instance, now));
        let leaving = outdated.iter().filter_map(|outdated| {
            let key = self.by_id.get(&outdated.id)?;
            let known = &self.members[*key].instance;
            known.leaving.then(|| known.clone())
        });
        let listed = leaving.chain(current).collect();
        let ended = self.replace_all(listed, now);
        for instance in outdated {
            let until = now + self.cfg.hold_of(&instance);
            self.restored.ignore_until(instance, until);
        }
        ended
    }

    /// Whether an entry predates the known state of its instance.
    fn is_outdated(&self, instance: &Instance, now: Instant) -> bool {
        let known = self.by_id.get(&instance.id);
        match known.map(|key| &self.members[*key]) {
            Some(member) => match is_different_start(instance, &member.instance) {
                true => has_earlier_start_time(instance, &member.instance),
                false => member.member_state != MemberState::Ready && !instance.leaving,
            },
            None => self.restored.has_ended(&instance.id, now),
        }
    }

    /// Applies an entry that was ignored for a while because it contradicts the known state of its instance.
    pub(super) fn accept_held(&mut self, instance: Instance, now: Instant) {
        let key = self.by_id.get(&instance.id);
        if let Some(known) = key.and_then(|key| self.members.get_mut(*key)) {
            if instance.leaving && is_different_start(&instance, &known.instance) {
                // The known process is used again as soon as it writes its entry.
                known.member_state = MemberState::Draining;
                return;
            }
            known.instance.leaving = false;
        }
        self.ended_starts.remove(&instance);
        self.put(instance, now);
    }

    /// Whether a newer instance is known at the same address.
    ///
    /// An id whose starts can be told apart may belong to a newer process than its first entry, so the entry that was
    /// written last counts, unless its process is known to have been replaced.
    fn is_superseded(&self, instance: &Instance) -> bool {
        let Some(other) = self.at_address(instance.address) else {
            return false;
        };
        if other.id == instance.id {
            return false;
        }
        match (instance.started_at_ms, other.started_at_ms) {
            (Some(_), Some(_)) => {
                other.written > instance.written || self.ended_starts.contains(instance)
            }
            _ => other.created > instance.created,
        }
    }

    /// Removes the instance at an address of which a newer one was published, and returns its id.
    fn supersede(&mut self, address: SocketAddr, now: Instant) -> Option<SmolStr> {
        let key = self.by_address.get(&address).copied()?;
        let older = self.remove(key)?;
        let id = older.id.clone();
        self.restored.instance_ended(id.clone(), now);
        self.ended_starts.add(&older);
        self.superseded.add(older);
        Some(id)
    }

    /// Removes an instance whose entry is no longer published. If another entry names its address, that one is used.
    pub(super) fn remove_ended(&mut self, key: InstanceKey, now: Instant) -> Option<Instance> {
        let instance = self.remove(key)?;
        self.restored.instance_ended(instance.id.clone(), now);
        if instance.leaving {
            self.ended_starts.add(&instance);
        }
        if let Some(other) = self.superseded.take_at(instance.address) {
            self.ended_starts.remove(&other);
            self.put(other, now);
        }
        Some(instance)
    }

    fn insert_published(&mut self, instance: Instance, now: Instant) {
        let member_state = published_state(&instance);
        let warm_up_until = now + instance.warm_up;
        self.insert(instance, member_state, warm_up_until);
    }
}

fn published_state(instance: &Instance) -> MemberState {
    match instance.leaving {
        true => MemberState::Draining,
        false => MemberState::Ready,
    }
}

/// Whether an entry names an earlier start time than the known one. Only an entry of an older copy is judged by this,
/// because its position does not tell whether it was written before the restore.
fn has_earlier_start_time(instance: &Instance, known: &Instance) -> bool {
    matches!((instance.started_at_ms, known.started_at_ms), (Some(new), Some(old)) if new < old)
}

/// Whether an entry belongs to another start of the target than the known one.
fn is_different_start(instance: &Instance, known: &Instance) -> bool {
    instance.started_at_ms.is_some() && instance.started_at_ms != known.started_at_ms
}
