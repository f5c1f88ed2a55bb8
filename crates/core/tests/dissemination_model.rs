//! Model test of replicas under arbitrary interleavings of pushes, reads, digests, losses, restarts and partitions.

use std::collections::BTreeMap;

use coltsfootport_core::dissemination::{
    Comparison, Entry, Key, OfferOutcome, Replica, Revision, ValidationResult, VersionsInForce,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NODES: usize = 6;
const KEYS: usize = 4;

/// Value that the model treats as invalid.
const INVALID: &str = "!";

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The platform accepts a write.
    Publish { key: usize, valid: bool },
    /// A node reads the platform, which may return a state that is `lag` writes old.
    Read { node: usize, lag: usize },
    /// A node sends its newest entries to another node.
    Push {
        from: usize,
        to: usize,
        entries: usize,
    },
    /// A message in flight arrives.
    Deliver(usize),
    /// A message in flight is lost.
    Drop(usize),
    /// A message in flight arrives and stays in flight, to arrive again.
    Duplicate(usize),
    /// Two nodes compare digests.
    Exchange { from: usize, to: usize },
    /// A node restarts with an empty replica.
    Restart(usize),
    /// Nodes whose bit is set and nodes whose bit is clear can't reach each other.
    Partition(u8),
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(13), cases: 2000, ..ProptestConfig::default()
    })]

    /// Guards against a document that reverts to an older version and against nodes that permanently apply different
    /// versions. Causes are a late message applied as new, a skipped gap, or a digest that hides a difference.
    #[test]
    fn versions_never_go_back_and_all_nodes_converge_after_a_partition(
        steps in proptest::collection::vec(step(), 1..120),
        platform_reachable in any::<bool>(),
    ) {
        let mut network = Network::new();
        for step in steps {
            network.step(step);
            network.check_complete()?;
        }
        network.partition = 0;
        if platform_reachable {
            network.read(0, 0);
        }
        let expected = network.expected();
        // The first round propagates new versions around the ring of nodes. The second exchanges differences at equal
        // revisions, the third the versions in force behind invalid ones.
        for _ in 0..3 {
            for node in 0..NODES {
                network.exchange(node, (node + 1) % NODES);
                network.exchange((node + 1) % NODES, node);
            }
        }
        for node in &network.nodes {
            prop_assert_eq!(node.replica.compare(&network.nodes[0].replica.digest()), Comparison::Same);
            prop_assert_eq!(&node.versions(), &expected);
        }
        if platform_reachable {
            network.check_platform()?;
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    prop_oneof![
        6 => (0..KEYS, proptest::bool::weighted(0.7))
            .prop_map(|(key, valid)| Step::Publish { key, valid }),
        4 => (node(), 0..4_usize).prop_map(|(node, lag)| Step::Read { node, lag }),
        6 => (node(), node(), 1..4_usize)
            .prop_map(|(from, to, entries)| Step::Push { from, to, entries }),
        5 => (0..16_usize).prop_map(Step::Deliver),
        2 => (0..16_usize).prop_map(Step::Drop),
        2 => (0..16_usize).prop_map(Step::Duplicate),
        3 => (node(), node()).prop_map(|(from, to)| Step::Exchange { from, to }),
        1 => node().prop_map(Step::Restart),
        1 => any::<u8>().prop_map(Step::Partition),
    ]
}

/// Newest revision and, if any, revision in force of each key.
type Versions = BTreeMap<Key, (u64, Option<u64>)>;

#[derive(Default)]
struct Node {
    replica: Replica,
    in_force: VersionsInForce<(), ()>,
}

impl Node {
    fn apply(&mut self, entries: Vec<Entry>, highest: Option<Revision>) {
        for applied in self.replica.apply(entries, highest) {
            let Entry {
                key,
                revision,
                value,
            } = applied.entry;
            let before = self.in_force.get(&key).map(|version| version.revision);
            let valid = &*value != INVALID;
            let result = if valid {
                ValidationResult::Valid
            } else {
                ValidationResult::Invalid
            };
            self.replica.record_validation(&key, revision, result);
            let offer = self
                .in_force
                .offer(&key, revision, valid.then_some(()).ok_or(()));
            assert!(
                !matches!(offer, OfferOutcome::Refused(_)),
                "the replica returned an older version"
            );
            let after = self.in_force.get(&key).map(|version| version.revision);
            assert!(
                after >= before,
                "the version in force went back from {before:?} to {after:?}"
            );
        }
    }

    fn versions(&self) -> Versions {
        let version = |held: &Key| {
            let in_force = self.in_force.get(held).map(|version| version.revision.0);
            let latest = self.replica.get(held).map_or(0, |entry| entry.revision.0);
            (held.clone(), (latest, in_force))
        };
        self.in_force.keys().map(version).collect()
    }
}

struct Push {
    from: usize,
    to: usize,
    entries: Vec<Entry>,
}

struct Network {
    log: Vec<Entry>,
    nodes: Vec<Node>,
    pushes: Vec<Push>,
    partition: u8,
}

impl Network {
    fn new() -> Self {
        let nodes = (0..NODES).map(|_| Node::default()).collect();
        Self {
            log: Vec::new(),
            nodes,
            pushes: Vec::new(),
            partition: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Publish { key, valid } => self.publish(key, valid),
            Step::Read { node, lag } => self.read(node, lag),
            Step::Push { from, to, entries } => self.push(from, to, entries),
            Step::Deliver(index) => {
                if let Some(push) = self.take_in_flight(index) {
                    self.deliver(&push);
                }
            }
            Step::Drop(index) => drop(self.take_in_flight(index)),
            Step::Duplicate(index) => {
                if let Some(push) = self.take_in_flight(index) {
                    self.deliver(&push);
                    self.pushes.push(push);
                }
            }
            Step::Exchange { from, to } => self.exchange(from, to),
            Step::Restart(node) => self.nodes[node] = Node::default(),
            Step::Partition(mask) => self.partition = mask,
        }
    }

    fn publish(&mut self, key: usize, valid: bool) {
        let revision = Revision(self.log.len() as u64 + 1);
        let value = if valid {
            format!("v{}", revision.0)
        } else {
            INVALID.to_owned()
        };
        let key = Key::from(format!("k{key}").as_str());
        self.log.push(Entry {
            key,
            revision,
            value: value.into(),
        });
    }

    fn read(&mut self, node: usize, lag: usize) {
        let visible = &self.log[..self.log.len().saturating_sub(lag)];
        let after = self.nodes[node].replica.complete();
        let latest: BTreeMap<&Key, &Entry> =
            visible.iter().map(|entry| (&entry.key, entry)).collect();
        let entries = latest
            .into_values()
            .filter(|entry| entry.revision > after)
            .cloned()
            .collect();
        self.nodes[node].apply(entries, Some(Revision(visible.len() as u64)));
    }

    fn push(&mut self, from: usize, to: usize, count: usize) {
        let mut entries = self.nodes[from].replica.entries_since(Revision(0));
        let older = entries.len().saturating_sub(count);
        self.pushes.push(Push {
            from,
            to,
            entries: entries.split_off(older),
        });
    }

    fn take_in_flight(&mut self, index: usize) -> Option<Push> {
        let count = self.pushes.len();
        (count > 0).then(|| self.pushes.swap_remove(index % count))
    }

    fn deliver(&mut self, push: &Push) {
        if self.can_reach(push.from, push.to) {
            self.nodes[push.to].apply(push.entries.clone(), None);
        }
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        (self.partition >> a) & 1 == (self.partition >> b) & 1
    }

    /// `from` sends its digest to `to`, and both act on the comparison.
    fn exchange(&mut self, from: usize, to: usize) {
        if from == to || !self.can_reach(from, to) {
            return;
        }
        let digest = self.nodes[from].replica.digest();
        match self.nodes[to].replica.compare(&digest) {
            Comparison::Same => {}
            Comparison::PeerIsNewer => self.pull(to, from),
            Comparison::PeerIsOlder => self.pull(from, to),
            Comparison::Differ => {
                let theirs = self.nodes[from].replica.versions();
                let difference = self.nodes[to].replica.difference(&digest, &theirs);
                let pulled = self.nodes[from].replica.entries_for(&difference.to_pull);
                let pushed = self.nodes[to].replica.entries_for(&difference.to_push);
                self.nodes[to].apply(pulled, None);
                self.nodes[from].apply(pushed, None);
            }
        }
    }

    fn pull(&mut self, at: usize, from: usize) {
        let source = &self.nodes[from].replica;
        let entries = source.entries_since(self.nodes[at].replica.complete());
        let complete = source.complete();
        self.nodes[at].apply(entries, Some(complete));
    }

    /// The highest versions held by any node.
    fn expected(&self) -> Versions {
        let mut best = Versions::new();
        for (key, (latest, in_force)) in self.nodes.iter().flat_map(Node::versions) {
            let held = best.entry(key).or_default();
            *held = (held.0.max(latest), held.1.max(in_force));
        }
        best
    }

    /// Checks that no replica has gaps up to its `complete` revision.
    fn check_complete(&self) -> Result<(), TestCaseError> {
        for node in &self.nodes {
            let complete = node.replica.complete();
            for entry in self
                .log
                .iter()
                .take_while(|entry| entry.revision <= complete)
            {
                let held = node.replica.get(&entry.key).map(|entry| entry.revision);
                prop_assert!(
                    held >= Some(entry.revision),
                    "{:?} lacks {entry:?}",
                    complete
                );
            }
        }
        Ok(())
    }

    /// Checks one node, which equals all others, against the entries of the platform.
    fn check_platform(&self) -> Result<(), TestCaseError> {
        for entry in &self.log {
            let held = self.nodes[NODES - 1]
                .replica
                .get(&entry.key)
                .map(|entry| entry.revision);
            prop_assert!(held >= Some(entry.revision));
            let in_force = self.nodes[NODES - 1].in_force.get(&entry.key);
            let newest = held == Some(entry.revision) && &*entry.value != INVALID;
            prop_assert!(!newest || in_force.is_some_and(|v| v.revision == entry.revision));
        }
        Ok(())
    }
}
