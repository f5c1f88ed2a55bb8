//! The instances known to a node, and load balancing among them.

mod entries;
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
use crate::collections::Map;
use crate::id::{DomainName, ServiceName};
use crate::mesh::{
    FleetConfig, Instance, InstanceSpeed, InstanceStats, MemberState, Position, ReadersConfig,
    ReadersView, SendOutcome,
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
