//! The instances that a node knows, and the choice among them.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use rand::Rng;
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use super::lapsed::Lapsed;
use super::publisher_health::PublisherHealth;
use super::restored::Restored;
use crate::collections::{FastHasher, Map, Set};
use crate::id::{DomainName, ServiceName};
use crate::mesh::{
    FleetConfig, GoneEffect, Instance, InstanceStats, MemberState, Position, PutEffect,
    ReadersConfig, ReadersView, SendOutcome,
};
use crate::quarantine::Fingerprint;

new_key_type! {
    /// Key of an instance within a fleet.
    pub struct InstanceKey;
}

/// An instance that was chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// Its key.
    pub key: InstanceKey,
    /// Its id, which the target compares with its own.
    pub id: SmolStr,
    /// Its address.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Member {
    instance: Instance,
    member_state: MemberState,
    cold_until: Instant,
    seen: InstanceStats,
}

impl Member {
    /// Its host is cut off from the publisher: where its entry has lapsed, it is held until then at least.
    fn host_cut_off(&mut self, until: Instant, now: Instant) {
        self.seen.mark_partitioned(now);
        if let MemberState::Missing { until: earlier } = self.member_state {
            let until = until.max(earlier);
            self.member_state = MemberState::Missing { until };
        }
    }
}

/// All instances by key, id, address and service.
#[derive(Clone, Debug)]
pub struct Fleet {
    cfg: FleetConfig,
    members: SlotMap<InstanceKey, Member>,
    by_id: Map<SmolStr, InstanceKey>,
    by_address: Map<SocketAddr, InstanceKey>,
    by_service: Map<ServiceName, Vec<InstanceKey>>,
    publisher: PublisherHealth,
    lapsed: Lapsed,
    restored: Restored,
}

impl Fleet {
    /// A fleet without instances.
    pub fn new(cfg: FleetConfig) -> Self {
        Self {
            cfg,
            members: SlotMap::with_key(),
            by_id: Map::default(),
            by_address: Map::default(),
            by_service: Map::default(),
            publisher: PublisherHealth::Sound,
            lapsed: Lapsed::default(),
            restored: Restored::default(),
        }
    }

    /// Takes in an entry as it was written.
    ///
    /// An address belongs to one process at a time, so the older of two instances at an address has ended. Its entry stays
    /// until its lease runs out: after a loss of power of all machines, seconds in which most requests would go to
    /// instances that are gone, and come back refused by their successors.
    pub fn put(&mut self, instance: Instance, now: Instant) -> PutEffect {
        let member_state = match instance.leaving {
            true => MemberState::Draining,
            false => MemberState::Ready,
        };
        let cold_until = now + instance.cold;
        if self.is_superseded(&instance) {
            return PutEffect::Same;
        }
        self.restored.written(&instance.id);
        let Some(key) = self.by_id.get(&instance.id).copied() else {
            let older = self.by_address.get(&instance.address).copied();
            let ended = older.and_then(|key| self.remove(key));
            if let Some(id) = &ended {
                self.restored.ended(id.clone(), now);
            }
            self.insert(instance, member_state, cold_until);
            return ended.map_or(PutEffect::Changed, PutEffect::Superseded);
        };
        let known = &self.members[key].instance;
        if is_earlier_start(&instance, known) {
            return PutEffect::Same;
        }
        if is_another_start(&instance, known) {
            // What was learnt of the earlier start, its load, failures and coldness, says nothing of this one.
            self.remove(key);
            self.insert(instance, member_state, cold_until);
            return PutEffect::Restarted;
        }
        if known.service != instance.service || known.address != instance.address {
            self.remove(key);
            self.insert(instance, member_state, cold_until);
            return PutEffect::Changed;
        }
        let member = &mut self.members[key];
        let changed = member.member_state != member_state;
        member.instance = instance;
        member.member_state = member_state;
        match changed {
            true => PutEffect::Changed,
            false => PutEffect::Same,
        }
    }

    /// Takes in that an entry was written which names no instance: who was known by its id is not used any more. The
    /// instance writes its entry again if it lives.
    pub fn unnamed(&mut self, id: &str) -> bool {
        let key = self.by_id.get(id).copied();
        key.and_then(|key| self.remove(key)).is_some()
    }

    /// Takes in that an entry was removed.
    pub fn gone(&mut self, id: &str, now: Instant) -> GoneEffect {
        self.restored.removed(id);
        let Some(key) = self.by_id.get(id).copied() else {
            self.restored.ended(SmolStr::new(id), now);
            return GoneEffect::Unknown;
        };
        let member = &mut self.members[key];
        let counts = self
            .publisher
            .absence_counts(member.member_state, self.cfg.lapse_hold, now);
        let unannounced = member.member_state.takes_work();
        let lapsed = unannounced && member.seen.is_partitioned(now);
        let counts = counts.or(lapsed.then_some(now + self.cfg.lapse_hold));
        if let Some(until) = counts {
            member.member_state = MemberState::Missing { until };
            return GoneEffect::Held;
        }
        let instance = member.instance.clone();
        self.remove(key);
        self.restored.ended(SmolStr::new(id), now);
        if unannounced {
            self.lapsed.add(instance, now);
        }
        GoneEffect::Gone
    }

    /// The host of an instance has said that it is cut off from the publisher, so that the entry of its target lapses
    /// although the target works. Returns whether the instance had been taken as gone and is used again.
    ///
    /// Without this, a cut between a third of the machines and the publisher leaves the other nodes with what few instances
    /// are still listed: one of four instances got the load of all, with 230 requests in its queue, while the other three
    /// idled, and 0.4 of the requests were served (logs and answers of a surge over such a cut). An instance that leaves is not meant:
    /// from a machine that is cut off neither its word nor the removal of its entry reaches the publisher.
    pub fn host_cut_off(&mut self, id: &str, now: Instant) -> bool {
        let until = now + self.cfg.lapse_hold;
        if let Some(key) = self.by_id.get(id) {
            self.members[*key].host_cut_off(until, now);
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

    /// The host of an instance has said in a reply that it is cut off from the publisher; see [`Fleet::host_cut_off`].
    pub fn host_of_cut_off(&mut self, key: InstanceKey, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.host_cut_off(now + self.cfg.lapse_hold, now);
        }
    }

    /// Takes in a whole list; instances that it lacks are treated as removed entries. Returns the ids of those that ended.
    pub fn replace_all(&mut self, listed: Vec<Instance>, now: Instant) -> Vec<SmolStr> {
        let ids: Set<SmolStr> = listed.iter().map(|instance| instance.id.clone()).collect();
        let mut ended = Vec::new();
        self.restored.keep_doubts_of(&ids);
        for instance in listed {
            if self.restored.is_doubted(&instance) {
                continue;
            }
            if let PutEffect::Superseded(older) = self.put(instance, now) {
                ended.push(older);
            }
        }
        let known = self.by_id.keys();
        let missing: Vec<SmolStr> = known.filter(|id| !ids.contains(*id)).cloned().collect();
        for id in missing {
            if self.gone(&id, now) == GoneEffect::Gone {
                ended.push(id);
            }
        }
        ended
    }

    /// Takes in the list of a publisher that has come back from an older copy. Returns the ids of instances that ended.
    ///
    /// What the copy lacks, instances write again; who has said that it leaves, or has ended, does not come back by it.
    pub fn restore(&mut self, listed: Vec<Instance>, now: Instant) -> Vec<SmolStr> {
        self.absences_count_from(now);
        let (doubted, believed): (Vec<Instance>, Vec<Instance>) = listed
            .into_iter()
            .partition(|instance| self.is_older_word(instance, now));
        let leaving = doubted.iter().filter_map(|doubted| {
            let key = self.by_id.get(&doubted.id)?;
            let known = &self.members[*key].instance;
            known.leaving.then(|| known.clone())
        });
        let listed = leaving.chain(believed).collect();
        let ended = self.replace_all(listed, now);
        let until = now + self.cfg.copy_hold;
        for instance in doubted {
            self.restored.doubt(instance, until);
        }
        ended
    }

    /// Whether an entry says less than what is known of its instance.
    fn is_older_word(&self, instance: &Instance, now: Instant) -> bool {
        let known = self.by_id.get(&instance.id);
        match known.map(|key| &self.members[*key]) {
            Some(member) => {
                member.member_state != MemberState::Ready
                    && !instance.leaving
                    && !is_another_start(instance, &member.instance)
            }
            None => self.restored.has_ended(&instance.id, now),
        }
    }

    /// The publisher does not answer as it should.
    pub fn publisher_lost(&mut self) {
        self.publisher = PublisherHealth::Troubled;
    }

    /// The publisher answers again.
    pub fn publisher_back(&mut self, now: Instant) {
        if self.publisher == PublisherHealth::Troubled {
            self.absences_count_from(now);
        }
    }

    /// Gives every entry that is missing its time to come back.
    fn absences_count_from(&mut self, now: Instant) {
        self.publisher = PublisherHealth::BackSince(now);
        let until = now + self.cfg.lapse_hold;
        for member in self.members.values_mut() {
            if matches!(member.member_state, MemberState::Missing { .. }) {
                member.member_state = MemberState::Missing { until };
            }
        }
    }

    /// Lets time pass: removes what had its time to come back, and returns the ids.
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
        let ended: Vec<SmolStr> = keys
            .into_iter()
            .filter_map(|key| self.remove(key))
            .collect();
        for id in &ended {
            self.restored.ended(id.clone(), now);
        }
        for instance in self.restored.tick(now) {
            self.put(instance, now);
        }
        ended
    }

    /// The best instance of a service outside `tried`.
    ///
    /// Avoided instances are taken only where no other is left: an error of the judgement must not end the service.
    pub fn choose<R>(
        &self,
        service: &ServiceName,
        tried: &[InstanceKey],
        now: Instant,
        rng: &mut R,
    ) -> Option<Chosen>
    where
        R: Rng + ?Sized,
    {
        let mut best: Option<(bool, f64, InstanceKey)> = None;
        for key in self.by_service.get(service)? {
            let member = &self.members[*key];
            if !member.member_state.takes_work() || tried.contains(key) {
                continue;
            }
            let avoided = member.seen.is_avoided(now);
            let score = self.score(member, now) * (1.0 + self.cfg.jitter * rng.random::<f64>());
            let better = best
                .is_none_or(|(other_avoided, other, _)| (avoided, score) < (other_avoided, other));
            if better {
                best = Some((avoided, score, *key));
            }
        }
        best.map(|(_, _, key)| self.chosen(key))
    }

    /// The instance outside `tried` that all nodes choose alike for a request, so that its copies meet at one host.
    pub fn choose_same(
        &self,
        service: &ServiceName,
        fingerprint: Fingerprint,
        tried: &[InstanceKey],
        now: Instant,
    ) -> Option<Chosen> {
        let keys = self.by_service.get(service)?.iter();
        let free = keys
            .filter(|key| self.members[**key].member_state.takes_work() && !tried.contains(key));
        let best = free.min_by_key(|key| {
            let member = &self.members[**key];
            let mut hasher = FastHasher::default();
            (fingerprint, &member.instance.id).hash(&mut hasher);
            (member.seen.is_avoided(now), hasher.finish())
        });
        best.map(|key| self.chosen(*key))
    }

    fn score(&self, member: &Member, now: Instant) -> f64 {
        let mut score = member.seen.score(member.instance.slots, now);
        if member.instance.domain != self.cfg.domain {
            score += self.cfg.far_penalty;
        }
        if now < member.cold_until {
            score *= self.cfg.cold_factor;
        }
        score
    }

    fn chosen(&self, key: InstanceKey) -> Chosen {
        let instance = &self.members[key].instance;
        Chosen {
            key,
            id: instance.id.clone(),
            address: instance.address,
        }
    }

    /// A request goes to an instance.
    pub fn sent(&mut self, key: InstanceKey, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.seen.request_sent(now);
        }
    }

    /// A host has said that it is about to stop, although it took the request.
    pub fn host_stopping(&mut self, key: InstanceKey, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.seen.host_stopping(now);
        }
    }

    /// A request has ended at an instance; `busy` is its host's word about its load, where it gave one.
    pub fn ended(
        &mut self,
        key: InstanceKey,
        outcome: SendOutcome,
        busy: Option<u32>,
        now: Instant,
    ) {
        // It may have left the list meanwhile.
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.seen.request_ended();
        if let Some(busy) = busy {
            member.seen.load_reported(busy, now);
        }
        match outcome {
            SendOutcome::Answered { relative } => member.seen.request_succeeded(relative, now),
            SendOutcome::Failed => member.seen.request_failed(now),
            SendOutcome::NotReached => member.seen.connect_failed(now),
            SendOutcome::TargetGone => member.seen.target_gone(now),
            SendOutcome::HostStopping => member.seen.host_stopped(now),
            SendOutcome::HostBusy | SendOutcome::Abandoned => {}
        }
    }

    /// The instance with this address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Instance> {
        let key = self.by_address.get(&address)?;
        Some(&self.members[*key].instance)
    }

    /// Whether a newer instance has its address.
    fn is_superseded(&self, instance: &Instance) -> bool {
        self.at_address(instance.address)
            .is_some_and(|other| other.id != instance.id && other.created > instance.created)
    }

    /// What is believed about an instance; `None` where it is not known.
    pub fn member_state(&self, id: &str) -> Option<MemberState> {
        let key = self.by_id.get(id)?;
        Some(self.members[*key].member_state)
    }

    /// The fleet as the node at `own` sees it when it decides who reads the publisher.
    ///
    /// In each failure domain the oldest instances that are not leaving are those that read. All nodes have nearly the same
    /// list, so they agree without a word; where they don't, one more node reads for a moment. In a small fleet everyone
    /// reads, and nobody is sought out.
    pub fn readers_view(&self, own: IpAddr, cfg: &ReadersConfig) -> ReadersView {
        let mut view = ReadersView {
            instances: self.members.len(),
            ..Default::default()
        };
        let mut by_domain: BTreeMap<&DomainName, Vec<(Position, &str, IpAddr)>> = BTreeMap::new();
        for member in self
            .members
            .values()
            .filter(|m| m.member_state.takes_work())
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

    /// Every instance and what is believed about it.
    pub fn iter(&self) -> impl Iterator<Item = (&Instance, MemberState)> {
        self.members
            .values()
            .map(|member| (&member.instance, member.member_state))
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn insert(&mut self, instance: Instance, member_state: MemberState, cold_until: Instant) {
        let id = instance.id.clone();
        let service = instance.service.clone();
        let address = instance.address;
        let key = self.members.insert(Member {
            instance,
            member_state,
            cold_until,
            seen: InstanceStats::default(),
        });
        self.by_id.insert(id, key);
        self.by_address.insert(address, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn remove(&mut self, key: InstanceKey) -> Option<SmolStr> {
        let member = self.members.remove(key)?;
        self.by_id.remove(&member.instance.id);
        if self.by_address.get(&member.instance.address) == Some(&key) {
            self.by_address.remove(&member.instance.address);
        }
        if let Some(keys) = self.by_service.get_mut(&member.instance.service) {
            keys.retain(|other| *other != key);
        }
        Some(member.instance.id)
    }
}

/// Whether an entry is of a start of the target before the known one; reads of the publisher can be stale.
fn is_earlier_start(instance: &Instance, known: &Instance) -> bool {
    matches!((instance.born, known.born), (Some(new), Some(old)) if new < old)
}

fn is_another_start(instance: &Instance, known: &Instance) -> bool {
    instance.born.is_some() && instance.born != known.born
}
