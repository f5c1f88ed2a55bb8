//! How 1,400 nodes learn of a request that crashes targets, in rounds of the time between two looks of a node.

use std::time::{Duration, Instant};

use coltsfootport_core::quarantine::{
    CrashId, Finding, Fingerprint, QuarantineConfig, SuspectRegistry, SuspicionLevel,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 1400;

/// Targets of the service that the crashing request is for.
const TARGETS: usize = 8;

const ROUND: Duration = Duration::from_millis(50);

/// Rounds of a run, ten seconds.
const ROUNDS: usize = 200;

/// Rounds within which all nodes in touch must know of the third crash, three seconds.
const REACTION_ROUNDS: usize = 60;

/// Nodes that each one tells what is new to it.
const FAN_OUT: usize = 6;

/// Rounds between two questions of a node to another one.
const PULL_ROUNDS: usize = 20;

/// Other requests at work at a target when it ends.
const BYSTANDERS: u128 = 30;

/// Rounds after which a bystander that was sent on is answered.
const ANSWERED_AFTER: usize = 3;

/// Rounds until a target that has ended is back.
const DOWN_ROUNDS: usize = 60;

/// Bytes of a message beside its findings, with the headers of its packets.
const MESSAGE_BYTES: usize = 80;

/// Bytes of a finding with one crash, and of each further one.
const FINDING_BYTES: usize = 34;
const CRASH_BYTES: usize = 10;

const CRASHING: Fingerprint = Fingerprint(1);

struct Fleet {
    nodes: Vec<SuspectRegistry>,
    /// Round in which a node is reached again; those that are cut off hear and tell nothing.
    cut_until: Vec<usize>,
    down_until: [usize; TARGETS],
    /// Round, entry and fingerprint of each bystander's answer.
    answers: Vec<(usize, usize, Fingerprint)>,
    bytes: Vec<usize>,
    crashes: u64,
    ended: usize,
    round: usize,
    now: Instant,
    rng: SmallRng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            nodes: vec![SuspectRegistry::new(QuarantineConfig::default()); NODES],
            cut_until: vec![0; NODES],
            down_until: [0; TARGETS],
            answers: Vec::new(),
            bytes: vec![0; NODES],
            crashes: 0,
            ended: 0,
            round: 0,
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn is_cut(&self, node: usize) -> bool {
        self.cut_until[node] > self.round
    }

    /// One round: what is told and asked arrives within it.
    fn pass(&mut self) {
        self.round += 1;
        self.now += ROUND;
        let now = self.now;
        let round = self.round;
        let due = self.answers.extract_if(.., |(at, ..)| *at <= round);
        for (_, entry, fingerprint) in due.collect::<Vec<_>>() {
            self.nodes[entry].record_answer(fingerprint, now);
        }
        for node in 0..NODES {
            if self.is_cut(node) {
                continue;
            }
            self.nodes[node].tick(now);
            let untold = self.nodes[node].take_unsent(512, now);
            if !untold.is_empty() {
                for _ in 0..FAN_OUT {
                    let other = self.rng.random_range(0..NODES);
                    self.carry(node, other, &untold);
                }
            }
            if round % PULL_ROUNDS == node % PULL_ROUNDS {
                let other = self.rng.random_range(0..NODES);
                if !self.is_cut(other) {
                    let found =
                        self.nodes[other].findings_for_peer(self.nodes[node].digest(), 512, now);
                    self.carry(other, node, &found);
                }
            }
        }
    }

    fn carry(&mut self, from: usize, to: usize, findings: &[Finding]) {
        if self.is_cut(to) {
            return;
        }
        let sizes = findings.iter().map(|finding| match &finding.evidence {
            coltsfootport_core::quarantine::Evidence::Answered => FINDING_BYTES,
            coltsfootport_core::quarantine::Evidence::Crashes(crashes) => {
                FINDING_BYTES + CRASH_BYTES * crashes.ids.len()
            }
        });
        self.bytes[from] += MESSAGE_BYTES + sizes.sum::<usize>();
        for finding in findings {
            self.nodes[to].merge(finding, self.now);
        }
    }

    /// A copy of the crashing request enters at a node; `true` where it is refused.
    fn enter(&mut self, entry: usize) -> bool {
        for _ in 0..2 {
            let standing = self.nodes[entry].suspicion_level(CRASHING, self.now);
            let up: Vec<usize> = (0..TARGETS)
                .filter(|target| self.down_until[*target] <= self.round)
                .collect();
            let target = match standing {
                SuspicionLevel::Refused => return true,
                SuspicionLevel::Isolated => up.first().copied(),
                _ => up.get(self.rng.random_range(0..up.len().max(1))).copied(),
            };
            let Some(target) = target else {
                return false;
            };
            if self.nodes[target].suspicion_level(CRASHING, self.now) == SuspicionLevel::Refused {
                return true;
            }
            self.crash(target, entry);
        }
        false
    }

    fn crash(&mut self, target: usize, entry: usize) {
        self.crashes += 1;
        self.ended += 1;
        self.down_until[target] = self.round + DOWN_ROUNDS;
        let id = CrashId(self.crashes << 32);
        let now = self.now;
        let alone = self.nodes[target].suspicion_level(CRASHING, now) >= SuspicionLevel::Suspected;
        self.nodes[target].record_crash(CRASHING, id, alone, now);
        let known = self.nodes[target].finding(CRASHING, now);
        self.nodes[entry].merge(&known.expect("it is suspected"), now);
        for other in 0..BYSTANDERS {
            let fingerprint = Fingerprint(1000 * u128::from(self.crashes) + other);
            self.nodes[target].record_crash(fingerprint, id, false, now);
            let entry = self.rng.random_range(0..NODES);
            let known = self.nodes[target].finding(fingerprint, now);
            self.nodes[entry].merge(&known.expect("it is suspected"), now);
            self.answers
                .push((self.round + ANSWERED_AFTER, entry, fingerprint));
        }
    }

    fn any_in_touch(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..NODES);
            if !self.is_cut(node) {
                return node;
            }
        }
    }

    fn who_refuses(&self) -> usize {
        let nodes = self.nodes.iter();
        let refuse = |node: &&SuspectRegistry| {
            node.suspicion_level(CRASHING, self.now) == SuspicionLevel::Refused
        };
        nodes.filter(refuse).count()
    }

    fn refused_bystanders(&self) -> usize {
        let mut refused = 0;
        for node in &self.nodes {
            for crash in 1..=self.crashes {
                for other in 0..BYSTANDERS {
                    let fingerprint = Fingerprint(1000 * u128::from(crash) + other);
                    let standing = node.suspicion_level(fingerprint, self.now);
                    refused += usize::from(standing >= SuspicionLevel::Isolated);
                }
            }
        }
        refused
    }
}

/// A request that comes again ten times a second at any of 1,400 nodes, a twentieth of which are cut off for five seconds.
#[test]
fn all_nodes_refuse_a_crashing_request_within_three_seconds() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        for node in (0..NODES).step_by(20).skip(1) {
            fleet.cut_until[node] = 100;
        }
        let (mut refused, mut third) = (0, None);
        while fleet.round < ROUNDS {
            let entry = fleet.any_in_touch();
            refused += usize::from(fleet.enter(entry));
            third = third.or((fleet.ended >= 3).then_some(fleet.round));
            fleet.pass();
            fleet.pass();
            if third.is_some_and(|third| fleet.round == third + REACTION_ROUNDS) {
                let cut = (0..NODES).filter(|node| fleet.is_cut(*node)).count();
                assert_eq!(fleet.who_refuses(), NODES - cut);
            }
        }
        let seconds = ROUND.as_secs_f64() * ROUNDS as f64;
        let mean = fleet.bytes.iter().sum::<usize>() as f64 / NODES as f64 / seconds;
        println!(
            "seed {seed}: {} targets ended, {refused} copies refused; {mean:.0} bytes a second and node over {seconds} s",
            fleet.ended,
        );
        assert!(fleet.ended <= 4, "{} targets ended", fleet.ended);
        assert_eq!(fleet.who_refuses(), NODES);
        assert_eq!(fleet.refused_bystanders(), 0);
        assert!(mean < 5000.0, "{mean} bytes a second and node");
    }
}

/// Nodes that were cut off, or have started, when the others learnt: they send what these refuse.
#[test]
fn a_node_that_returns_learns_within_three_seconds() {
    let mut fleet = Fleet::new(9);
    for node in (0..NODES).step_by(20) {
        fleet.cut_until[node] = 100;
    }
    while !fleet.enter(1) {
        fleet.pass();
    }
    while fleet.round < 100 {
        fleet.pass();
    }
    let returned = fleet.round;
    while fleet.who_refuses() < NODES {
        fleet.pass();
    }
    let took = ROUND * (fleet.round - returned) as u32;
    println!("learnt within {took:?}");
    assert!(took < Duration::from_secs(3), "{took:?}");
}
