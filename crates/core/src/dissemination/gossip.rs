//! Which nodes this node tells of news, and with which it compares digests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::{DomainName, NodeName};
use crate::membership::{InstanceEntry, View};

use super::rendezvous;

/// Settings of gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipConfig {
    /// Peers in the own failure domain: the next node of the domain's ring, and others chosen by hash.
    pub own_domain: usize,
    /// Peers in other failure domains, each in another one; the first is in another region where there is one.
    pub other_domains: usize,
    /// Mean time between two digests that this node sends.
    pub digest_interval: Duration,
    /// Every how many digests one goes to any node of the fleet; each costs a new connection.
    pub wander_every: u32,
    /// Largest value in bytes that is pushed whole; larger ones are only announced and then pulled.
    pub whole_up_to: usize,
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            own_domain: 4,
            other_domains: 3,
            digest_interval: Duration::from_millis(500),
            wander_every: 120,
            whole_up_to: 256,
        }
    }
}

impl GossipConfig {
    /// The settings for a number of peers, about half of them in other failure domains.
    pub fn with_peers(count: usize) -> Self {
        let other_domains = count / 2;
        Self {
            own_domain: count - other_domains,
            other_domains,
            ..Self::default()
        }
    }
}

/// How news of an entry is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PushForm {
    /// The entry itself.
    Whole,
    /// Its key and revision; whoever lacks it pulls it.
    Notice,
}

/// The fixed small set of peers of one node, taken from its view.
///
/// The set is fixed because each change of a peer costs a handshake, which is dearer than hundreds of digests. Each
/// domain's nodes form a ring in the order of a hash, so that within a domain no group of nodes is cut off; the peers
/// chosen by hash make the paths short and join the domains.
#[derive(Clone, Debug)]
pub struct GossipPlan {
    cfg: GossipConfig,
    peers: Vec<NodeName>,
    everybody: Vec<NodeName>,
    next_digest: Option<Instant>,
    digests: u32,
}

impl GossipPlan {
    /// The plan of a node for a view; to be made anew when the view's epoch changes.
    pub fn new(cfg: GossipConfig, me: &NodeName, view: &View) -> Self {
        let mut plan = Self {
            cfg,
            peers: Vec::new(),
            everybody: Vec::new(),
            next_digest: None,
            digests: 0,
        };
        plan.update(me, view);
        plan
    }

    /// Takes the peers from a changed view and keeps the time of the next digest.
    pub fn update(&mut self, me: &NodeName, view: &View) {
        let present: Vec<&InstanceEntry> = view
            .all()
            .filter(|entry| entry.node != *me && view.is_present(&entry.node))
            .collect();
        self.peers = match view.get(me) {
            Some(own) => choose(&self.cfg, own, &present),
            // Not listed yet: any peers do until the list has caught up.
            None => {
                let names = present.iter().map(|entry| entry.node.as_str());
                let count = self.cfg.own_domain + self.cfg.other_domains;
                rendezvous::best(&[b"unlisted", me.as_str().as_bytes()], names, count)
                    .into_iter()
                    .map(NodeName::from)
                    .collect()
            }
        };
        self.everybody = present
            .into_iter()
            .map(|entry| entry.node.clone())
            .collect();
    }

    /// The nodes to which news is sent.
    pub fn push_targets(&self) -> &[NodeName] {
        &self.peers
    }

    /// How news of a value of this many bytes is sent.
    pub fn push_form(&self, value_bytes: usize) -> PushForm {
        if value_bytes <= self.cfg.whole_up_to {
            PushForm::Whole
        } else {
            PushForm::Notice
        }
    }

    /// The node to compare digests with now, or none while no digest is due.
    pub fn digest_peer<R>(&mut self, now: Instant, rng: &mut R) -> Option<&NodeName>
    where
        R: Rng + ?Sized,
    {
        if self.next_digest.is_some_and(|due| now < due) {
            return None;
        }
        self.next_digest = Some(now + self.cfg.digest_interval.mul_f64(rng.random_range(0.8..1.2)));
        self.digests = self.digests.wrapping_add(1);
        // Views that differ for long can leave the fixed sets without a path between two groups; a digest to any node
        // now and then joins them again.
        let wanders = self.digests.is_multiple_of(self.cfg.wander_every.max(1));
        let from = if wanders || self.peers.is_empty() {
            &self.everybody
        } else {
            &self.peers
        };
        if from.is_empty() {
            return None;
        }
        from.get(rng.random_range(0..from.len()))
    }

    /// When the next digest is due, if one was sent before.
    pub fn next_digest(&self) -> Option<Instant> {
        self.next_digest
    }
}

fn choose(cfg: &GossipConfig, own: &InstanceEntry, present: &[&InstanceEntry]) -> Vec<NodeName> {
    let mut domains: BTreeMap<&DomainName, Vec<&InstanceEntry>> = BTreeMap::new();
    for entry in present {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    let mine = domains.remove(&own.domain).unwrap_or_default();
    let ring = ring_successor(own, &mine).into_iter();
    let mut peers: Vec<NodeName> = ring.take(cfg.own_domain).collect();
    let inside = mine.iter().map(|entry| entry.node.as_str());
    let inside = inside.filter(|name| !peers.iter().any(|peer| peer.as_str() == *name));
    let inside = best_for(own, inside, cfg.own_domain.saturating_sub(1));
    peers.extend(inside);
    for domain in other_domains(cfg, own, &domains) {
        let names = domains[domain].iter().map(|entry| entry.node.as_str());
        peers.extend(best_for(own, names, 1));
    }
    peers
}

/// The node after this one in the order of a hash.
fn ring_successor(own: &InstanceEntry, mine: &[&InstanceEntry]) -> Option<NodeName> {
    let place =
        |entry: &InstanceEntry| rendezvous::weight(&[b"ring", entry.node.as_str().as_bytes()]);
    let here = place(own);
    let distance = |entry: &&&InstanceEntry| place(entry).wrapping_sub(here);
    mine.iter()
        .min_by_key(distance)
        .map(|entry| entry.node.clone())
}

fn best_for<'a, I>(own: &InstanceEntry, names: I, count: usize) -> Vec<NodeName>
where
    I: IntoIterator<Item = &'a str>,
{
    rendezvous::best(&[b"gossip", own.node.as_str().as_bytes()], names, count)
        .into_iter()
        .map(NodeName::from)
        .collect()
}

fn other_domains<'a>(
    cfg: &GossipConfig,
    own: &InstanceEntry,
    domains: &BTreeMap<&'a DomainName, Vec<&InstanceEntry>>,
) -> Vec<&'a DomainName> {
    let ranked = |elsewhere: bool| {
        let names = domains
            .iter()
            .filter(|(_, nodes)| {
                nodes
                    .iter()
                    .any(|node| (node.region != own.region) == elsewhere)
            })
            .map(|(name, _)| name.as_str());
        rendezvous::best(
            &[b"domain", own.node.as_str().as_bytes()],
            names,
            cfg.other_domains,
        )
    };
    let away = ranked(true);
    let near = ranked(false);
    let first = away.iter().take(1);
    let rest = near.iter().chain(away.iter().skip(1));
    first
        .chain(rest)
        .take(cfg.other_domains)
        .filter_map(|name| {
            domains
                .keys()
                .find(|domain| domain.as_str() == *name)
                .copied()
        })
        .collect()
}
