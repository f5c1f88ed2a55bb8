//! Selection of the peers that receive pushes of new entries and digests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::{DomainName, NodeName};
use crate::membership::{InstanceEntry, View};

use super::rendezvous;

/// Settings of gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipConfig {
    /// Number of peers in the local failure domain: the successor on the domain's ring and others chosen by hash.
    pub local_peers: usize,
    /// Number of peers in other failure domains, at most one in each. The first is in another region if there is one.
    pub remote_peers: usize,
    /// Mean interval between digests sent by this node.
    pub digest_interval: Duration,
    /// Every n-th digest is sent to a random node of the fleet. Each of these needs a new connection.
    pub random_digest_every: u32,
    /// Largest value, in bytes, that is pushed in full. Larger values are announced and then pulled.
    pub max_pushed_bytes: usize,
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            local_peers: 4,
            remote_peers: 3,
            digest_interval: Duration::from_millis(500),
            random_digest_every: 120,
            max_pushed_bytes: 256,
        }
    }
}

impl GossipConfig {
    /// Default settings with `count` peers, half of them (rounded down) in other failure domains.
    pub fn with_peers(count: usize) -> Self {
        let remote_peers = count / 2;
        Self {
            local_peers: count - remote_peers,
            remote_peers,
            ..Self::default()
        }
    }
}

/// How a new version of an entry is pushed to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PushMode {
    /// Sends the entry with its value.
    Full,
    /// Sends only the key and revision. Nodes that lack the version pull it.
    Notice,
}

/// The small, stable set of gossip peers of one node, derived from its membership view.
///
/// The set is stable because each change of a peer costs a handshake, which is more expensive than hundreds of digests.
/// The nodes of each failure domain form a ring ordered by hash, so that no group of nodes within a domain is
/// disconnected. The peers chosen by hash shorten the paths and connect the domains.
#[derive(Clone, Debug)]
pub struct GossipPlan {
    cfg: GossipConfig,
    peers: Vec<NodeName>,
    all_nodes: Vec<NodeName>,
    next_digest: Option<Instant>,
    digest_count: u32,
}

impl GossipPlan {
    /// Creates the plan of node `me`. Must be updated when the epoch of the view changes.
    pub fn new(cfg: GossipConfig, me: &NodeName, view: &View) -> Self {
        let mut plan = Self {
            cfg,
            peers: Vec::new(),
            all_nodes: Vec::new(),
            next_digest: None,
            digest_count: 0,
        };
        plan.update(me, view);
        plan
    }

    /// Recomputes the peers for a changed view. The next digest stays due at the same time.
    pub fn update(&mut self, me: &NodeName, view: &View) {
        let present: Vec<&InstanceEntry> = view
            .all()
            .filter(|entry| entry.node != *me && view.is_present(&entry.node))
            .collect();
        self.peers = match view.get(me) {
            Some(own) => select_peers(&self.cfg, own, &present),
            // This node is not listed yet, so any peers serve until the list is up to date.
            None => {
                let names = present.iter().map(|entry| entry.node.as_str());
                let count = self.cfg.local_peers + self.cfg.remote_peers;
                rendezvous::top_ranked(&[b"unlisted", me.as_str().as_bytes()], names, count)
                    .into_iter()
                    .map(NodeName::from)
                    .collect()
            }
        };
        self.all_nodes = present
            .into_iter()
            .map(|entry| entry.node.clone())
            .collect();
    }

    /// The peers that receive pushes of new versions.
    pub fn push_targets(&self) -> &[NodeName] {
        &self.peers
    }

    /// How a value of this size is pushed.
    pub fn push_mode(&self, value_bytes: usize) -> PushMode {
        if value_bytes <= self.cfg.max_pushed_bytes {
            PushMode::Full
        } else {
            PushMode::Notice
        }
    }

    /// Returns the node to send a digest to and schedules the next digest. `None` if none is due or no node is known.
    pub fn digest_peer<R>(&mut self, now: Instant, rng: &mut R) -> Option<&NodeName>
    where
        R: Rng + ?Sized,
    {
        if self.next_digest.is_some_and(|due| now < due) {
            return None;
        }
        self.next_digest = Some(now + self.cfg.digest_interval.mul_f64(rng.random_range(0.8..1.2)));
        self.digest_count = self.digest_count.wrapping_add(1);
        // If the views of nodes differ for a long time, their peer sets may not connect all groups of nodes. Occasional
        // digests to random nodes reconnect them.
        let is_random = self
            .digest_count
            .is_multiple_of(self.cfg.random_digest_every.max(1));
        let candidates = if is_random || self.peers.is_empty() {
            &self.all_nodes
        } else {
            &self.peers
        };
        if candidates.is_empty() {
            return None;
        }
        candidates.get(rng.random_range(0..candidates.len()))
    }

    /// When the next digest is due, or `None` before the first one.
    pub fn next_digest(&self) -> Option<Instant> {
        self.next_digest
    }
}

fn select_peers(
    cfg: &GossipConfig,
    own: &InstanceEntry,
    present: &[&InstanceEntry],
) -> Vec<NodeName> {
    let mut domains: BTreeMap<&DomainName, Vec<&InstanceEntry>> = BTreeMap::new();
    for entry in present {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    let local_nodes = domains.remove(&own.domain).unwrap_or_default();
    let successor = ring_successor(own, &local_nodes).into_iter();
    let mut peers: Vec<NodeName> = successor.take(cfg.local_peers).collect();
    let local_names = local_nodes.iter().map(|entry| entry.node.as_str());
    let others = local_names.filter(|name| !peers.iter().any(|peer| peer.as_str() == *name));
    let others = top_ranked_for(own, others, cfg.local_peers.saturating_sub(1));
    peers.extend(others);
    for domain in select_remote_domains(cfg, own, &domains) {
        let names = domains[domain].iter().map(|entry| entry.node.as_str());
        peers.extend(top_ranked_for(own, names, 1));
    }
    peers
}

/// Returns the next node on the ring of the failure domain, which is ordered by hash.
fn ring_successor(own: &InstanceEntry, local_nodes: &[&InstanceEntry]) -> Option<NodeName> {
    let position =
        |entry: &InstanceEntry| rendezvous::weight(&[b"ring", entry.node.as_str().as_bytes()]);
    let own_position = position(own);
    let distance = |entry: &&&InstanceEntry| position(entry).wrapping_sub(own_position);
    local_nodes
        .iter()
        .min_by_key(distance)
        .map(|entry| entry.node.clone())
}

/// Returns the `count` names that rank highest as peers of `own`.
fn top_ranked_for<'a, I>(own: &InstanceEntry, names: I, count: usize) -> Vec<NodeName>
where
    I: IntoIterator<Item = &'a str>,
{
    rendezvous::top_ranked(&[b"gossip", own.node.as_str().as_bytes()], names, count)
        .into_iter()
        .map(NodeName::from)
        .collect()
}

/// Selects the other failure domains to peer with: first one in another region, then those in the local region, then
/// the rest.
fn select_remote_domains<'a>(
    cfg: &GossipConfig,
    own: &InstanceEntry,
    domains: &BTreeMap<&'a DomainName, Vec<&InstanceEntry>>,
) -> Vec<&'a DomainName> {
    let ranked = |other_region: bool| {
        let names = domains
            .iter()
            .filter(|(_, nodes)| {
                nodes
                    .iter()
                    .any(|node| (node.region != own.region) == other_region)
            })
            .map(|(name, _)| name.as_str());
        rendezvous::top_ranked(
            &[b"domain", own.node.as_str().as_bytes()],
            names,
            cfg.remote_peers,
        )
    };
    let in_other_regions = ranked(true);
    let in_own_region = ranked(false);
    let first = in_other_regions.iter().take(1);
    let rest = in_own_region.iter().chain(in_other_regions.iter().skip(1));
    first
        .chain(rest)
        .take(cfg.remote_peers)
        .filter_map(|name| {
            domains
                .keys()
                .find(|domain| domain.as_str() == *name)
                .copied()
        })
        .collect()
}
