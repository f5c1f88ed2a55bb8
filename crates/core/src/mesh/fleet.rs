//! The instances that a node knows, and the choice among them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::collections::Map;
use crate::id::{DomainName, ServiceName};
use crate::mesh::{Instance, Observed, Standing};

new_key_type! {
    /// Key of an instance within a fleet.
    pub struct InstanceKey;
}

/// How a node chooses among instances.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The failure domain of this node.
    pub domain: DomainName,
    /// How long an entry that vanished while the publisher was in trouble is given to come back, from its return on.
    pub lapse_hold: Duration,
    /// What another failure domain adds to a score of about 1: its latency, and the price of bytes between domains.
    pub far_penalty: f64,
    /// Random part of a score, so that nodes with the same view do not all choose the same instance.
    pub jitter: f64,
    /// What a cold instance's score is multiplied by.
    pub cold_factor: f64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            domain: DomainName::default(),
            lapse_hold: Duration::from_millis(2200),
            far_penalty: 1.0,
            jitter: 0.15,
            cold_factor: 1.6,
        }
    }
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

/// What became of a request at an instance, as far as the choice of instances is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendOutcome {
    /// A whole answer, after this multiple of the route's usual time.
    Answered {
        /// Time over the usual time of the route.
        relative: f64,
    },
    /// The target failed, refused it or broke off.
    Failed,
    /// The target does not listen, or is not that instance any more.
    TargetGone,
    /// The host's queue was too long; the target was not asked.
    HostBusy,
    /// The host is about to stop; the target was not asked.
    HostStopping,
    /// The host could not be reached.
    NotReached,
    /// Nobody waits for it any more; says nothing about the instance.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Member {
    instance: Instance,
    standing: Standing,
    cold_until: Instant,
    seen: Observed,
}

/// All instances by key, id and service.
#[derive(Clone, Debug)]
pub struct Fleet {
    cfg: FleetConfig,
    members: SlotMap<InstanceKey, Member>,
    by_id: Map<SmolStr, InstanceKey>,
    by_service: Map<ServiceName, Vec<InstanceKey>>,
    publisher: Publisher,
}

/// What is known about the publisher's health.
#[derive(Clone, Copy, Debug)]
enum Publisher {
    Sound,
    Troubled,
    BackSince(Instant),
}

impl Fleet {
    /// A fleet without instances.
    pub fn new(cfg: FleetConfig) -> Self {
        Self {
            cfg,
            members: SlotMap::with_key(),
            by_id: Map::default(),
            by_service: Map::default(),
            publisher: Publisher::Sound,
        }
    }

    /// Takes in an entry as it was written; tells whether anything that matters changed.
    pub fn put(&mut self, instance: Instance, now: Instant) -> bool {
        let standing = match instance.leaving {
            true => Standing::Leaving,
            false => Standing::Ready,
        };
        let cold_until = now + instance.cold;
        if self.is_superseded(&instance) {
            return false;
        }
        let Some(key) = self.by_id.get(&instance.id).copied() else {
            self.supersede(&instance);
            self.insert(instance, standing, cold_until);
            return true;
        };
        if self.members[key].instance.service != instance.service {
            self.remove(key);
            self.insert(instance, standing, cold_until);
            return true;
        }
        let member = &mut self.members[key];
        let changed = member.standing != standing || member.instance.address != instance.address;
        member.instance = instance;
        member.standing = standing;
        changed
    }

    /// Takes in that an entry was removed; tells whether the instance is taken as gone at once.
    pub fn gone(&mut self, id: &str, now: Instant) -> bool {
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        let until = match (self.members[key].standing, self.publisher) {
            (Standing::Leaving, _) | (_, Publisher::Sound) => None,
            (Standing::Vanished { until }, _) => Some(until),
            (_, Publisher::Troubled) => Some(now + UNTIL_RETURN),
            (_, Publisher::BackSince(back)) => Some(back + self.cfg.lapse_hold),
        };
        match until {
            Some(until) if until > now => {
                self.members[key].standing = Standing::Vanished { until };
                false
            }
            _ => {
                self.remove(key);
                true
            }
        }
    }

    /// Takes in a whole list; instances that it lacks are treated as removed entries.
    pub fn replace_all(&mut self, listed: Vec<Instance>, now: Instant) {
        let ids: Vec<SmolStr> = listed.iter().map(|instance| instance.id.clone()).collect();
        for instance in listed {
            self.put(instance, now);
        }
        let missing: Vec<SmolStr> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.gone(&id, now);
        }
    }

    /// The publisher does not answer as it should.
    pub fn publisher_lost(&mut self) {
        self.publisher = Publisher::Troubled;
    }

    /// The publisher answers again.
    pub fn publisher_back(&mut self, now: Instant) {
        if !matches!(self.publisher, Publisher::Troubled) {
            return;
        }
        self.publisher = Publisher::BackSince(now);
        let until = now + self.cfg.lapse_hold;
        for member in self.members.values_mut() {
            if matches!(member.standing, Standing::Vanished { .. }) {
                member.standing = Standing::Vanished { until };
            }
        }
    }

    /// Lets time pass: removes what had its time to come back, and returns the ids.
    pub fn tick(&mut self, now: Instant) -> Vec<SmolStr> {
        if let Publisher::BackSince(back) = self.publisher
            && now >= back + self.cfg.lapse_hold
        {
            self.publisher = Publisher::Sound;
        }
        let over = |member: &Member| match member.standing {
            Standing::Vanished { until } => until <= now,
            _ => false,
        };
        let keys: Vec<InstanceKey> = self
            .members
            .iter()
            .filter(|(_, member)| over(member))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
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
            if !member.standing.takes_work() || tried.contains(key) {
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
            member.seen.sent(now);
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
        member.seen.ended();
        if let Some(busy) = busy {
            member.seen.reported(busy, now);
        }
        match outcome {
            SendOutcome::Answered { relative } => member.seen.answered(relative, now),
            SendOutcome::Failed => member.seen.failed(now),
            SendOutcome::NotReached => member.seen.not_reached(now),
            SendOutcome::TargetGone => member.seen.target_gone(now),
            SendOutcome::HostStopping => member.seen.host_stopped(now),
            SendOutcome::HostBusy | SendOutcome::Abandoned => {}
        }
    }

    /// The instance with this address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Instance> {
        self.members
            .values()
            .find(|member| member.instance.address == address)
            .map(|member| &member.instance)
    }

    /// Whether a newer instance has its address.
    fn is_superseded(&self, instance: &Instance) -> bool {
        self.at_address(instance.address)
            .is_some_and(|other| other.id != instance.id && other.created > instance.created)
    }

    /// Removes an older instance at the address of a new one.
    ///
    /// An address belongs to one process at a time, so the older one has ended. Its entry stays until its lease runs out:
    /// after a loss of power of all machines, seconds in which most requests would go to instances that are gone, and come
    /// back refused by their successors.
    fn supersede(&mut self, newer: &Instance) {
        let older = self
            .by_id
            .values()
            .copied()
            .find(|key| self.members[*key].instance.address == newer.address);
        if let Some(key) = older {
            self.remove(key);
        }
    }

    /// What is believed about an instance; `None` where it is not known.
    pub fn standing(&self, id: &str) -> Option<Standing> {
        let key = self.by_id.get(id)?;
        Some(self.members[*key].standing)
    }

    /// Every instance and what is believed about it.
    pub fn iter(&self) -> impl Iterator<Item = (&Instance, Standing)> {
        self.members
            .values()
            .map(|member| (&member.instance, member.standing))
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn insert(&mut self, instance: Instance, standing: Standing, cold_until: Instant) {
        let id = instance.id.clone();
        let service = instance.service.clone();
        let key = self.members.insert(Member {
            instance,
            standing,
            cold_until,
            seen: Observed::default(),
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn remove(&mut self, key: InstanceKey) -> Option<SmolStr> {
        let member = self.members.remove(key)?;
        self.by_id.remove(&member.instance.id);
        if let Some(keys) = self.by_service.get_mut(&member.instance.service) {
            keys.retain(|other| *other != key);
        }
        Some(member.instance.id)
    }
}

/// Stands for the unknown end of the publisher's trouble; replaced when it returns.
const UNTIL_RETURN: Duration = Duration::from_secs(3600);
