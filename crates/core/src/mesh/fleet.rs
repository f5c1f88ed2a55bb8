//! The instances known to a node, and load balancing among them.

mod selection;
mod slowness;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use super::announced_leaving::AnnouncedLeaving;
use super::ended_starts::EndedStarts;
use super::lapsed::LapsedInstances;
use super::publisher_health::PublisherHealth;
use super::restored::RestoredEntries;
use super::superseded::SupersededEntries;
use crate::collections::{Map, Set};
use crate::id::{DomainName, ServiceName};
use crate::mesh::{
    FleetConfig, Instance, InstanceSpeed, InstanceStats, MemberState, Position, PutEffect,
    ReadersConfig, ReadersView, RemoveEffect, SendOutcome,
};

new_key_type! {
    /// Key of an instance within a fleet.
    pub struct InstanceKey;
}

/// The instance selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedInstance {
    /// Key of the instance within the fleet.
    pub key: InstanceKey,
    /// Id of the instance; the target rejects requests addressed to another id.
    pub id: SmolStr,
    /// Address of the target.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Member {
    instance: Instance,
    member_state: MemberState,
    warm_up_until: Instant,
    stats: InstanceStats,
    /// Whether the slowness last crossed the upper threshold of [`Fleet::slowness_changes`].
    is_slow: bool,
}

impl Member {
    /// Records that the host can't reach the publisher. If the entry is missing already, the instance is kept until
    /// `until` at least.
    fn mark_partitioned(&mut self, until: Instant, now: Instant) {
        self.stats.mark_partitioned(now);
        if let MemberState::Missing { until: earlier } = self.member_state {
            let until = until.max(earlier);
            self.member_state = MemberState::Missing { until };
        }
    }
}

/// All known instances, indexed by key, id, address and service.
#[derive(Clone, Debug)]
pub struct Fleet {
    cfg: FleetConfig,
    members: SlotMap<InstanceKey, Member>,
    by_id: Map<SmolStr, InstanceKey>,
    by_address: Map<SocketAddr, InstanceKey>,
    by_service: Map<ServiceName, Vec<InstanceKey>>,
    speeds: Map<ServiceName, InstanceSpeed>,
    publisher: PublisherHealth,
    lapsed: LapsedInstances,
    restored: RestoredEntries,
    ended_starts: EndedStarts,
    superseded: SupersededEntries,
    announced_leaving: AnnouncedLeaving,
}

impl Fleet {
    /// Creates a fleet without instances.
    pub fn new(cfg: FleetConfig) -> Self {
        Self {
            cfg,
            members: SlotMap::with_key(),
            by_id: Map::default(),
            by_address: Map::default(),
            by_service: Map::default(),
            speeds: Map::default(),
            publisher: PublisherHealth::Healthy,
            lapsed: LapsedInstances::default(),
            restored: RestoredEntries::default(),
            ended_starts: EndedStarts::default(),
            superseded: SupersededEntries::default(),
            announced_leaving: AnnouncedLeaving::default(),
        }
    }

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

    /// Ignores an entry for a while that is likely to be a late write: by a process that has been replaced, or from before
    /// its process announced its end. The running process writes its entry again within this time.
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

    /// Records that the host of an instance can't reach the publisher, so that the lease of its entry expires
    /// although the target works. Returns whether the instance had been removed and is now used again.
    ///
    /// Without this, a network partition between a third of the machines and the publisher leaves the other nodes
    /// with the few instances that are still listed: in a load surge, one of four instances then receives the load
    /// of all and has 230 requests in its queue while the other three are idle, and only 0.4 of the requests are
    /// served. Removed instances that had announced that they leave are not used again: their machine was not
    /// partitioned, or neither the announcement nor the removal of the entry would have reached the publisher.
    pub fn mark_partitioned_by_id(&mut self, id: &str, now: Instant) -> bool {
        let until = now + self.cfg.lapse_hold;
        if let Some(key) = self.by_id.get(id) {
            self.members[*key].mark_partitioned(until, now);
            return false;
        }
        let Some(instance) = self.lapsed.take(id, now) else {
            return false;
        };
        if self.by_address.contains_key(&instance.address) {
            return false;
        }
        self.insert(instance, MemberState::Missing { until }, now);
        true
    }

    /// Records that the host of an instance reported in a response that it can't reach the publisher; see
    /// [`Fleet::mark_partitioned_by_id`].
    pub fn mark_partitioned(&mut self, key: InstanceKey, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.mark_partitioned(now + self.cfg.lapse_hold, now);
        }
    }

    /// Records that an instance has announced in a response that it is leaving, which holds for its process whatever
    /// its entry says. Returns its id if that is new.
    pub fn mark_leaving(&mut self, key: InstanceKey) -> Option<SmolStr> {
        let member = self.members.get_mut(key)?;
        member.instance.leaving = true;
        member.member_state = MemberState::Draining;
        let Instance {
            id, started_at_ms, ..
        } = &member.instance;
        let is_new = self.announced_leaving.add(id, *started_at_ms);
        is_new.then(|| id.clone())
    }

    /// Returns the key of the instance with this id.
    pub fn key_of(&self, id: &str) -> Option<InstanceKey> {
        self.by_id.get(id).copied()
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

    /// Records that the publisher fails to answer.
    pub fn publisher_failed(&mut self) {
        self.publisher = PublisherHealth::Unhealthy;
    }

    /// Records that the publisher answers.
    pub fn publisher_recovered(&mut self, now: Instant) {
        if self.publisher == PublisherHealth::Unhealthy {
            self.restart_missing_timers(now);
        }
    }

    /// Restarts the hold time of every missing entry, so that instances can write their entries again.
    fn restart_missing_timers(&mut self, now: Instant) {
        self.publisher = PublisherHealth::RecoveredAt(now);
        let until = now + self.cfg.lapse_hold;
        for member in self.members.values_mut() {
            if matches!(member.member_state, MemberState::Missing { .. }) {
                member.member_state = MemberState::Missing { until };
            }
        }
    }

    /// Advances the timers: removes instances whose hold time has expired, and returns their ids.
    pub fn tick(&mut self, now: Instant) -> Vec<SmolStr> {
        self.publisher.settle(self.cfg.lapse_hold, now);
        let over = |member: &Member| match member.member_state {
            MemberState::Missing { until } => until <= now,
            _ => false,
        };
        let keys: Vec<InstanceKey> = self
            .members
            .iter()
            .filter(|(_, member)| over(member))
            .map(|(key, _)| key)
            .collect();
        let ended = keys
            .into_iter()
            .filter_map(|key| Some(self.remove_ended(key, now)?.id))
            .collect();
        for instance in self.restored.tick(now) {
            self.accept_held(instance, now);
        }
        ended
    }

    /// Applies an entry that was ignored for a while because it contradicts the known state of its instance.
    fn accept_held(&mut self, instance: Instance, now: Instant) {
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

    /// Records that a request was sent to an instance.
    pub fn request_sent(&mut self, key: InstanceKey, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.stats.request_sent(now);
        }
    }

    /// Records that a host reported that it is shutting down, although it accepted the request.
    pub fn host_stopping(&mut self, key: InstanceKey, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.stats.host_stopping(now);
        }
    }

    /// Records the end of a request at an instance; `busy` is the load reported by its host, if any.
    pub fn request_ended(
        &mut self,
        key: InstanceKey,
        outcome: SendOutcome,
        busy: Option<u32>,
        now: Instant,
    ) {
        // The instance may have been removed in the meantime.
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.stats.request_ended();
        if let Some(busy) = busy {
            member.stats.load_reported(busy, now);
        }
        match outcome {
            SendOutcome::Answered { relative_latency } => {
                member.stats.request_succeeded(relative_latency, now)
            }
            SendOutcome::Failed => member.stats.request_failed(now),
            SendOutcome::HostUnreachable => member.stats.connect_failed(now),
            SendOutcome::TargetGone => member.stats.target_gone(now),
            SendOutcome::HostStopping => member.stats.host_stopped(now),
            SendOutcome::HostBusy | SendOutcome::Abandoned => {}
        }
    }

    /// Returns the instance at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Instance> {
        let key = self.by_address.get(&address)?;
        Some(&self.members[*key].instance)
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
    fn remove_ended(&mut self, key: InstanceKey, now: Instant) -> Option<Instance> {
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

    /// Returns the state of an instance, or `None` if it is unknown.
    pub fn member_state(&self, id: &str) -> Option<MemberState> {
        let key = self.by_id.get(id)?;
        Some(self.members[*key].member_state)
    }

    /// Summarizes the fleet for the decision of the node at `own` whether to poll the publisher.
    ///
    /// In each failure domain, the nodes of the oldest instances that are not leaving are appointed to poll. All
    /// nodes have nearly the same list, so they agree without coordination; where their lists differ, an additional
    /// node polls for a moment. In a small fleet every node polls and the candidates are not used.
    pub fn readers_view(&self, own: IpAddr, cfg: &ReadersConfig) -> ReadersView {
        let mut view = ReadersView {
            instances: self.members.len(),
            ..Default::default()
        };
        let mut by_domain: BTreeMap<&DomainName, Vec<(Position, &str, IpAddr)>> = BTreeMap::new();
        for member in self
            .members
            .values()
            .filter(|m| m.member_state.accepts_requests())
        {
            let Instance {
                created,
                id,
                address,
                domain,
                ..
            } = &member.instance;
            let of_domain = by_domain.entry(domain).or_default();
            of_domain.push((*created, id, address.ip()));
        }
        view.readers = cfg.appointed * by_domain.len();
        let own_first = by_domain.remove_entry(&self.cfg.domain);
        for (_, mut of_domain) in own_first.into_iter().chain(by_domain) {
            of_domain.sort_unstable();
            let oldest = of_domain.iter().take(cfg.appointed).map(|(_, _, ip)| *ip);
            for ip in oldest {
                match ip == own {
                    true => view.appointed = true,
                    false => view.candidates.push(ip),
                }
            }
        }
        view
    }

    /// Iterates over all instances and their states.
    pub fn iter(&self) -> impl Iterator<Item = (&Instance, MemberState)> {
        self.members
            .values()
            .map(|member| (&member.instance, member.member_state))
    }

    /// Number of known instances.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the fleet has no instances.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn insert_published(&mut self, instance: Instance, now: Instant) {
        let member_state = published_state(&instance);
        let warm_up_until = now + instance.warm_up;
        self.insert(instance, member_state, warm_up_until);
    }

    fn insert(&mut self, instance: Instance, member_state: MemberState, warm_up_until: Instant) {
        let id = instance.id.clone();
        let service = instance.service.clone();
        let address = instance.address;
        let key = self.members.insert(Member {
            instance,
            member_state,
            warm_up_until,
            stats: InstanceStats::default(),
            is_slow: false,
        });
        self.by_id.insert(id, key);
        self.by_address.insert(address, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn remove(&mut self, key: InstanceKey) -> Option<Instance> {
        let member = self.members.remove(key)?;
        self.by_id.remove(&member.instance.id);
        if self.by_address.get(&member.instance.address) == Some(&key) {
            self.by_address.remove(&member.instance.address);
        }
        if let Some(keys) = self.by_service.get_mut(&member.instance.service) {
            keys.retain(|other| *other != key);
        }
        if let Some(speed) = self.speeds.get_mut(&member.instance.service) {
            speed.remove(key);
            if speed.is_empty() {
                self.speeds.remove(&member.instance.service);
            }
        }
        Some(member.instance)
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
