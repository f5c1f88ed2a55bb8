//! The router of one node.

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

/// Weight of refusals and failures of late against load and latency.
const TROUBLE_WEIGHT: f64 = 10.0;

/// Share of refused calls of late from which a peer counts as over capacity.
const TROUBLED: f64 = 0.5;

/// Most runs remembered of nodes that went off the list.
const MAX_FORMER: usize = 4096;

/// Chooses the peer for each call and keeps what is known about all of them.
#[derive(Clone, Debug, Default)]
pub struct Router {
    cfg: RoutingConfig,
    peers: SlotMap<PeerKey, Peer>,
    by_name: Map<NodeName, PeerKey>,
    services: Map<ServiceName, Service>,
    /// Last known runs of nodes that went off the list.
    former: Map<NodeName, Incarnation>,
    /// Whether a list was taken in before; peers of the first one are not fresh.
    listed: bool,
}

impl Router {
    /// A router that knows no peers.
    pub fn new(cfg: RoutingConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Takes in a whole list of peers; what was observed of peers that stay is kept.
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

    /// Picks a peer of the service that is live and not in `excluded`.
    ///
    /// Two peers of the own failure domain are drawn and the less loaded one is taken; other failure domains are drawn
    /// from where the own one has no usable peer or the taken one is over capacity. None only where every live peer of
    /// the service is excluded: when all are ejected, ejection is ignored.
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
        let near = self.better_of_two(&near, now, rng);
        if near.is_some_and(|key| !self.is_full(key, now)) {
            return near;
        }
        let far = keys(&service.subset, |distance| distance != Distance::Domain);
        let far: Vec<_> = far.filter(usable).collect();
        let far = self.better_of_two(&far, now, rng);
        match (near, far) {
            (Some(near), Some(far)) => Some(self.better(near, far, now)),
            (Some(key), None) | (None, Some(key)) => Some(key),
            (None, None) => self.pick_any(service, excluded, now, rng),
        }
    }

    /// Counts an attempt sent to a peer.
    pub fn sent(&mut self, key: PeerKey, now: Instant) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.sent(&self.cfg, now);
        }
    }

    /// Counts the end of an attempt; a report with limit 0 is ignored.
    pub fn done(&mut self, key: PeerKey, result: RouteResult, report: LoadReport, now: Instant) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.done(&self.cfg, result, report, now);
        let due = match result {
            RouteResult::Served => {
                peer.ejection.served();
                false
            }
            RouteResult::Failed | RouteResult::Lost => peer.ejection.failed(&self.cfg),
            RouteResult::Shed | RouteResult::Cancelled => false,
        };
        if due {
            self.eject(key, now);
        }
    }

    /// Takes in that this run of a node says itself that it is leaving.
    pub fn leaving(&mut self, node: &NodeName, incarnation: Incarnation) {
        let Some(peer) = self
            .by_name
            .get(node)
            .and_then(|key| self.peers.get_mut(*key))
        else {
            return;
        };
        peer.leaving(incarnation);
        if let Some(service) = self.services.get_mut(&peer.view.service) {
            choose_subset(&self.cfg, &self.peers, service);
        }
    }

    /// What is known about a peer.
    pub fn peer(&self, key: PeerKey) -> Option<&PeerView> {
        self.peers.get(key).map(|peer| &peer.view)
    }

    /// The key of a listed node.
    pub fn key_of(&self, node: &NodeName) -> Option<PeerKey> {
        self.by_name.get(node).copied()
    }

    /// Peers of a service that this node talks to, nearest first.
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

    /// Attempts in flight to a peer.
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
        let former = self.former.remove(&node);
        let key = self.peers.insert(Peer::new(view, former, fresh_since, now));
        self.by_name.insert(node, key);
        key
    }

    fn remove(&mut self, key: PeerKey) {
        let Some(peer) = self.peers.remove(key) else {
            return;
        };
        self.by_name.remove(&peer.view.node);
        if let Some(run) = peer.last_run() {
            self.remember(peer.view.node, run);
        }
    }

    /// Remembers a run, so that late word of its leaving isn't taken for that of a successor under the same name.
    fn remember(&mut self, node: NodeName, run: Incarnation) {
        if self.former.len() >= MAX_FORMER {
            self.former.clear();
        }
        self.former.insert(node, run);
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

    /// Ejects a peer unless too many of the subset are ejected already.
    ///
    /// When all peers fail, the cause is rather something common: ejecting them all would leave nobody, or move the
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

    /// Picks beyond the subset, then among the ejected.
    fn pick_any<R>(
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
        self.better_of_two(&from, now, rng)
    }

    fn better_of_two<R>(&self, from: &[PeerKey], now: Instant, rng: &mut R) -> Option<PeerKey>
    where
        R: Rng + ?Sized,
    {
        match from {
            [] => None,
            [only] => Some(*only),
            _ => {
                let first = rng.random_range(0..from.len());
                let second = (first + rng.random_range(1..from.len())) % from.len();
                Some(self.better(from[first], from[second], now))
            }
        }
    }

    fn better(&self, first: PeerKey, second: PeerKey, now: Instant) -> PeerKey {
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

    /// Relative cost of one more call at a peer, before latency.
    fn cost(&self, peer: &Peer, now: Instant) -> f64 {
        let load = &peer.load;
        let trouble = 1.0 + TROUBLE_WEIGHT * load.trouble(&self.cfg, now);
        (load.utilisation(&self.cfg, now) + IDLE_COST) * trouble / peer.weight(&self.cfg, now)
    }

    fn is_full(&self, key: PeerKey, now: Instant) -> bool {
        let Some(peer) = self.peers.get(key) else {
            return true;
        };
        let full = peer.load.has_report() && peer.load.utilisation(&self.cfg, now) >= 1.0;
        full || peer.load.trouble(&self.cfg, now) >= TROUBLED
    }
}

/// Cost of a peer without load, in shares of its limit.
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

/// Most peers of a subset of this size that may be ejected.
fn ejection_bound(size: usize, share: f64) -> usize {
    let bound = (size as f64 * share).floor() as usize;
    if size >= 2 { bound.max(1) } else { bound }
}
