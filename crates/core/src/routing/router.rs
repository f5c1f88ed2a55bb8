//! Peer selection of one node.

use std::time::Instant;

use rand::Rng;
use slotmap::SlotMap;

use super::config::RoutingConfig;
use super::load::LoadReport;
use super::peer::{Peer, PeerKey, PeerView, RouteResult};
use super::service::{Service, SubsetMember};
use super::subset::{self, Candidate, Distance};
use crate::collections::{Map, Set};
use crate::id::{Incarnation, NodeName, ServiceName};

/// Weight of the recent failure rate relative to load and latency.
const FAILURE_RATE_WEIGHT: f64 = 10.0;

/// Recent failure rate from which a peer counts as over capacity.
const OVERLOAD_FAILURE_RATE: f64 = 0.5;

/// Maximum number of incarnations remembered for nodes that are no longer listed.
const MAX_PREVIOUS_INCARNATIONS: usize = 4096;

/// Selects a peer for each call and tracks the state of all peers.
#[derive(Clone, Debug, Default)]
pub struct Router {
    cfg: RoutingConfig,
    peers: SlotMap<PeerKey, Peer>,
    by_name: Map<NodeName, PeerKey>,
    services: Map<ServiceName, Service>,
    /// Last known incarnations of nodes that are no longer listed.
    previous_incarnations: Map<NodeName, Incarnation>,
    /// Whether a list was applied before. Peers of the first list skip slow start.
    listed: bool,
}

impl Router {
    /// Creates a router without peers.
    pub fn new(cfg: RoutingConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Replaces the list of peers, keeping the state of peers that remain listed.
    pub fn update(&mut self, peers: Vec<PeerView>, now: Instant) {
        let fresh_since = self.listed.then_some(now);
        self.listed = true;
        let mut gone: Set<PeerKey> = self.peers.keys().collect();
        for view in peers {
            let key = self.upsert(view, fresh_since, now);
            gone.remove(&key);
        }
        for key in gone {
            self.remove(key);
        }
        self.rebuild_services();
    }

    /// Picks a live peer of the service that is not in `excluded`.
    ///
    /// Uses the power of two choices within the local failure domain. Other failure domains are considered if the
    /// local one has no usable peer or the picked peer is over capacity. Ejection is ignored if all peers are ejected,
    /// so this returns `None` only if every live peer of the service is excluded.
    pub fn pick<R>(
        &mut self,
        service: &ServiceName,
        excluded: &[PeerKey],
        now: Instant,
        rng: &mut R,
    ) -> Option<PeerKey>
    where
        R: Rng + ?Sized,
    {
        let service = self.services.get(service)?;
        let usable = |key: &PeerKey| self.is_usable(*key, excluded, now);
        let near = keys(&service.subset, |distance| distance == Distance::Domain);
        let near: Vec<_> = near.filter(usable).collect();
        let near = self.pick_of_two(&near, now, rng);
        if near.is_some_and(|key| !self.is_overloaded(key, now)) {
            return near;
        }
        let far = keys(&service.subset, |distance| distance != Distance::Domain);
        let far: Vec<_> = far.filter(usable).collect();
        let far = self.pick_of_two(&far, now, rng);
        match (near, far) {
            (Some(near), Some(far)) => Some(self.cheaper(near, far, now)),
            (Some(key), None) | (None, Some(key)) => Some(key),
            (None, None) => self.pick_fallback(service, excluded, now, rng),
        }
    }

    /// Records that an attempt was sent to a peer.
    pub fn sent(&mut self, key: PeerKey, now: Instant) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.record_sent(&self.cfg, now);
        }
    }

    /// Records the end of an attempt. A report with limit 0 is ignored.
    pub fn done(&mut self, key: PeerKey, result: RouteResult, report: LoadReport, now: Instant) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.record_done(&self.cfg, result, report, now);
        let due = match result {
            RouteResult::Served => {
                peer.ejection.record_success();
                false
            }
            RouteResult::Failed | RouteResult::Lost => peer.ejection.record_failure(&self.cfg),
            RouteResult::Shed | RouteResult::Cancelled => false,
        };
        if due {
            self.eject(key, now);
        }
    }

    /// Records a notice from a node that the given incarnation is leaving.
    pub fn record_leaving(&mut self, node: &NodeName, incarnation: Incarnation) {
        let Some(peer) = self
            .by_name
            .get(node)
            .and_then(|key| self.peers.get_mut(*key))
        else {
            return;
        };
        peer.record_leaving(incarnation);
        if let Some(service) = self.services.get_mut(&peer.view.service) {
            choose_subset(&self.cfg, &self.peers, service);
        }
    }

    /// Returns the description of a peer.
    pub fn peer(&self, key: PeerKey) -> Option<&PeerView> {
        self.peers.get(key).map(|peer| &peer.view)
    }

    /// Returns the key of a listed node.
    pub fn key_of(&self, node: &NodeName) -> Option<PeerKey> {
        self.by_name.get(node).copied()
    }

    /// Returns the subset of a service's peers that this node calls, nearest first.
    pub fn subset(&self, service: &ServiceName) -> Vec<PeerKey> {
        let Some(service) = self.services.get(service) else {
            return Vec::new();
        };
        service.subset.iter().map(|member| member.key).collect()
    }

    /// Whether a peer is ejected at `now`.
    pub fn is_ejected(&self, key: PeerKey, now: Instant) -> bool {
        self.peers
            .get(key)
            .is_some_and(|peer| peer.ejection.is_ejected(now))
    }

    /// Number of attempts in flight to a peer.
    pub fn in_flight(&self, key: PeerKey) -> u32 {
        self.peers.get(key).map_or(0, |peer| peer.load.in_flight())
    }

    fn upsert(&mut self, view: PeerView, fresh_since: Option<Instant>, now: Instant) -> PeerKey {
        if let Some(key) = self.key_of(&view.node)
            && let Some(peer) = self.peers.get_mut(key)
        {
            peer.update(view, now);
            return key;
        }
        let node = view.node.clone();
        let previous_incarnation = self.previous_incarnations.remove(&node);
        let key = self
            .peers
            .insert(Peer::new(view, previous_incarnation, fresh_since, now));
        self.by_name.insert(node, key);
        key
    }

    fn remove(&mut self, key: PeerKey) {
        let Some(peer) = self.peers.remove(key) else {
            return;
        };
        self.by_name.remove(&peer.view.node);
        if let Some(incarnation) = peer.last_incarnation() {
            self.remember_incarnation(peer.view.node, incarnation);
        }
    }

    /// Remembers an incarnation, so that its late leaving notice isn't attributed to a successor of the same name.
    fn remember_incarnation(&mut self, node: NodeName, incarnation: Incarnation) {
        if self.previous_incarnations.len() >= MAX_PREVIOUS_INCARNATIONS {
            self.previous_incarnations.clear();
        }
        self.previous_incarnations.insert(node, incarnation);
    }

    fn rebuild_services(&mut self) {
        self.services.clear();
        for (key, peer) in &self.peers {
            self.services
                .entry(peer.view.service.clone())
                .or_default()
                .members
                .push(key);
        }
        for service in self.services.values_mut() {
            choose_subset(&self.cfg, &self.peers, service);
        }
    }

    /// Ejects a peer unless too many peers of the subset are ejected already.
    ///
    /// If all peers fail, a shared dependency is the likely cause. Ejecting them all would leave no peer, or move the
    /// whole load to the last one.
    fn eject(&mut self, key: PeerKey, now: Instant) {
        let Some(service) = self
            .peers
            .get(key)
            .and_then(|p| self.services.get(&p.view.service))
        else {
            return;
        };
        let ejected = |member: &&SubsetMember| self.is_ejected(member.key, now);
        let ejected = service.subset.iter().filter(ejected).count();
        let bound = ejection_bound(service.subset.len(), self.cfg.ejection_share);
        if ejected >= bound || self.is_ejected(key, now) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(key) {
            peer.ejection.eject(&self.cfg, now);
        }
    }

    fn is_live(&self, key: PeerKey, excluded: &[PeerKey]) -> bool {
        !excluded.contains(&key) && self.peers.get(key).is_some_and(Peer::is_live)
    }

    fn is_usable(&self, key: PeerKey, excluded: &[PeerKey], now: Instant) -> bool {
        self.is_live(key, excluded) && !self.is_ejected(key, now)
    }

    /// Picks among all live peers of the service, also outside the subset; ejected peers only as a last resort.
    fn pick_fallback<R>(
        &self,
        service: &Service,
        excluded: &[PeerKey],
        now: Instant,
        rng: &mut R,
    ) -> Option<PeerKey>
    where
        R: Rng + ?Sized,
    {
        let live = service
            .members
            .iter()
            .copied()
            .filter(|key| self.is_live(*key, excluded));
        let live: Vec<_> = live.collect();
        let usable = live
            .iter()
            .copied()
            .filter(|key| !self.is_ejected(*key, now));
        let usable: Vec<_> = usable.collect();
        let from = if usable.is_empty() { live } else { usable };
        self.pick_of_two(&from, now, rng)
    }

    fn pick_of_two<R>(&self, from: &[PeerKey], now: Instant, rng: &mut R) -> Option<PeerKey>
    where
        R: Rng + ?Sized,
    {
        match from {
            [] => None,
            [only] => Some(*only),
            _ => {
                let first = rng.random_range(0..from.len());
                let second = (first + rng.random_range(1..from.len())) % from.len();
                Some(self.cheaper(from[first], from[second], now))
            }
        }
    }

    fn cheaper(&self, first: PeerKey, second: PeerKey, now: Instant) -> PeerKey {
        let (Some(a), Some(b)) = (self.peers.get(first), self.peers.get(second)) else {
            return first;
        };
        let latencies = (a.latency(&self.cfg, now), b.latency(&self.cfg, now));
        let (a, b) = (self.cost(a, now), self.cost(b, now));
        let (a, b) = match latencies {
            (Some(x), Some(y)) => (a * x.as_secs_f64(), b * y.as_secs_f64()),
            _ => (a, b),
        };
        if b < a { second } else { first }
    }

    /// Relative cost of one more call to a peer, not including latency.
    fn cost(&self, peer: &Peer, now: Instant) -> f64 {
        let load = &peer.load;
        let failure_rate = 1.0 + FAILURE_RATE_WEIGHT * load.failure_rate(&self.cfg, now);
        (load.utilisation(&self.cfg, now) + IDLE_COST) * failure_rate / peer.weight(&self.cfg, now)
    }

    fn is_overloaded(&self, key: PeerKey, now: Instant) -> bool {
        let Some(peer) = self.peers.get(key) else {
            return true;
        };
        let at_limit = peer.load.has_report() && peer.load.utilisation(&self.cfg, now) >= 1.0;
        at_limit || peer.load.failure_rate(&self.cfg, now) >= OVERLOAD_FAILURE_RATE
    }
}

/// Base cost of an idle peer, as a fraction of its limit.
const IDLE_COST: f64 = 0.1;

fn keys<F>(subset: &[SubsetMember], wanted: F) -> impl Iterator<Item = PeerKey>
where
    F: Fn(Distance) -> bool,
{
    subset
        .iter()
        .filter(move |member| wanted(member.distance))
        .map(|member| member.key)
}

fn choose_subset(cfg: &RoutingConfig, peers: &SlotMap<PeerKey, Peer>, service: &mut Service) {
    let live = service.members.iter().filter(|key| peers[**key].is_live());
    let candidates = live.map(|&key| {
        let view = &peers[key].view;
        let weight = subset::weight(&cfg.node, &view.node);
        Candidate {
            key,
            distance: Distance::of(cfg, view),
            weight,
        }
    });
    let chosen = subset::choose(cfg, candidates.collect());
    let members = chosen.into_iter().map(SubsetMember::from);
    service.subset = members.collect();
}

/// Maximum number of ejected peers in a subset of the given size.
fn ejection_bound(size: usize, share: f64) -> usize {
    let bound = (size as f64 * share).floor() as usize;
    if size >= 2 { bound.max(1) } else { bound }
}
