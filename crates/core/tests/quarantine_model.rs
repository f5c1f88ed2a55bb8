//! Simulates how findings about a request that crashes targets spread among 1,400 nodes. A round lasts as long as the
//! interval between two ticks of a node.

use std::time::{Duration, Instant};

use coltsfootport_core::quarantine::{
    CrashId, Finding, Fingerprint, QuarantineConfig, SuspectRegistry, SuspicionLevel,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 1400;

/// Number of targets of the service that the crashing request calls.
const TARGETS: usize = 8;

const ROUND: Duration = Duration::from_millis(50);

/// Length of a simulation: ten seconds.
const ROUNDS: usize = 200;

/// Time within which all connected nodes must know of the third crash: three seconds.
const REACTION_ROUNDS: usize = 60;

/// Number of peers to which a node pushes new findings.
const PUSH_FANOUT: usize = 6;

/// Rounds between two pulls of a node.
const PULL_ROUNDS: usize = 20;

/// Number of other requests running at a target when it crashes.
const BYSTANDERS: u128 = 30;

/// Rounds after which a bystander that is retried elsewhere is answered.
const ANSWERED_AFTER: usize = 3;

/// Rounds until a crashed target is back.
const DOWN_ROUNDS: usize = 60;

/// Size of a message without its findings, including packet headers.
const MESSAGE_BYTES: usize = 80;

/// Size of a finding without its crashes.
const FINDING_BYTES: usize = 34;

/// Size of each crash in a finding.
const CRASH_BYTES: usize = 10;

const CRASHING: Fingerprint = Fingerprint(1);

struct Fleet {
    nodes: Vec<SuspectRegistry>,
    /// Round in which each node is connected again. A disconnected node neither sends nor receives findings.
    disconnected_until: Vec<usize>,
    down_until: [usize; TARGETS],
    /// Round, entry node and fingerprint of each bystander's answer.
    answers: Vec<(usize, usize, Fingerprint)>,
    sent_bytes: Vec<usize>,
    last_crash_id: u64,
    crashed_targets: usize,
    round: usize,
    now: Instant,
    rng: SmallRng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            nodes: vec![SuspectRegistry::new(QuarantineConfig::default()); NODES],
            disconnected_until: vec![0; NODES],
            down_until: [0; TARGETS],
            answers: Vec::new(),
            sent_bytes: vec![0; NODES],
            last_crash_id: 0,
            crashed_targets: 0,
            round: 0,
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn is_disconnected(&self, node: usize) -> bool {
        self.disconnected_until[node] > self.round
    }

    /// Simulates one round. Messages arrive in the round in which they are sent.
    fn step(&mut self) {
        self.round += 1;
        self.now += ROUND;
        let now = self.now;
        let round = self.round;
        let due = self.answers.extract_if(.., |(at, ..)| *at <= round);
        for (_, entry, fingerprint) in due.collect::<Vec<_>>() {
            self.nodes[entry].record_answer(fingerprint, now);
        }
        for node in 0..NODES {
            if self.is_disconnected(node) {
                continue;
            }
            self.nodes[node].tick(now);
            let unsent = self.nodes[node].take_unsent(512, now);
            if !unsent.is_empty() {
                for _ in 0..PUSH_FANOUT {
                    let other = self.rng.random_range(0..NODES);
                    self.deliver(node, other, &unsent);
                }
            }
            if round % PULL_ROUNDS == node % PULL_ROUNDS {
                let other = self.rng.random_range(0..NODES);
                if !self.is_disconnected(other) {
                    let findings =
                        self.nodes[other].findings_for_peer(self.nodes[node].digest(), 512, now);
                    self.deliver(other, node, &findings);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, findings: &[Finding]) {
        if self.is_disconnected(to) {
            return;
        }
        let sizes = findings.iter().map(|finding| match &finding.evidence {
            coltsfootport_core::quarantine::Evidence::Answered => FINDING_BYTES,
            coltsfootport_core::quarantine::Evidence::Crashes(crashes) => {
                FINDING_BYTES + CRASH_BYTES * crashes.ids.len()
            }
        });
        self.sent_bytes[from] += MESSAGE_BYTES + sizes.sum::<usize>();
        for finding in findings {
            self.nodes[to].merge(finding, self.now);
        }
    }

    /// Sends a copy of the crashing request through an entry node, with one retry; returns whether it was refused.
    fn send_crashing(&mut self, entry: usize) -> bool {
        for _ in 0..2 {
            let level = self.nodes[entry].suspicion_level(CRASHING, self.now);
            let up: Vec<usize> = (0..TARGETS)
                .filter(|target| self.down_until[*target] <= self.round)
                .collect();
            let target = match level {
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
        self.last_crash_id += 1;
        self.crashed_targets += 1;
        self.down_until[target] = self.round + DOWN_ROUNDS;
        let id = CrashId(self.last_crash_id << 32);
        let now = self.now;
        let is_probe =
            self.nodes[target].suspicion_level(CRASHING, now) >= SuspicionLevel::Isolated;
        self.nodes[target].record_crash(CRASHING, id, is_probe, now);
        let finding = self.nodes[target].finding(CRASHING, now);
        self.nodes[entry].merge(&finding.expect("the request is a suspect"), now);
        for other in 0..BYSTANDERS {
            let fingerprint = Fingerprint(1000 * u128::from(self.last_crash_id) + other);
            self.nodes[target].record_crash(fingerprint, id, false, now);
            let entry = self.rng.random_range(0..NODES);
            let finding = self.nodes[target].finding(fingerprint, now);
            self.nodes[entry].merge(&finding.expect("the request is a suspect"), now);
            self.answers
                .push((self.round + ANSWERED_AFTER, entry, fingerprint));
        }
    }

    fn random_connected_node(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..NODES);
            if !self.is_disconnected(node) {
                return node;
            }
        }
    }

    fn refusing_nodes(&self) -> usize {
        let nodes = self.nodes.iter();
        let refuse = |node: &&SuspectRegistry| {
            node.suspicion_level(CRASHING, self.now) == SuspicionLevel::Refused
        };
        nodes.filter(refuse).count()
    }

    fn refused_bystanders(&self) -> usize {
        let mut refused = 0;
        for node in &self.nodes {
            for crash in 1..=self.last_crash_id {
                for other in 0..BYSTANDERS {
                    let fingerprint = Fingerprint(1000 * u128::from(crash) + other);
                    let level = node.suspicion_level(fingerprint, self.now);
                    refused += usize::from(level >= SuspicionLevel::Isolated);
                }
            }
        }
        refused
    }
}

/// A crashing request arrives ten times a second at random nodes while a twentieth of the 1,400 nodes are disconnected
/// for five seconds. Guards against findings spreading too slowly, using too much bandwidth, or quarantining
/// bystanders.
#[test]
fn all_nodes_refuse_a_crashing_request_within_three_seconds() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        for node in (0..NODES).step_by(20).skip(1) {
            fleet.disconnected_until[node] = 100;
        }
        let (mut refused, mut third_crash) = (0, None);
        while fleet.round < ROUNDS {
            let entry = fleet.random_connected_node();
            refused += usize::from(fleet.send_crashing(entry));
            third_crash = third_crash.or((fleet.crashed_targets >= 3).then_some(fleet.round));
            fleet.step();
            fleet.step();
            if third_crash.is_some_and(|round| fleet.round == round + REACTION_ROUNDS) {
                let disconnected = (0..NODES)
                    .filter(|node| fleet.is_disconnected(*node))
                    .count();
                assert_eq!(fleet.refusing_nodes(), NODES - disconnected);
            }
        }
        let seconds = ROUND.as_secs_f64() * ROUNDS as f64;
        let mean = fleet.sent_bytes.iter().sum::<usize>() as f64 / NODES as f64 / seconds;
        println!(
            "seed {seed}: {} targets crashed, {refused} copies refused; {mean:.0} bytes/s per node over {seconds} s",
            fleet.crashed_targets,
        );
        assert!(
            fleet.crashed_targets <= 4,
            "{} targets crashed",
            fleet.crashed_targets
        );
        assert_eq!(fleet.refusing_nodes(), NODES);
        assert_eq!(fleet.refused_bystanders(), 0);
        assert!(mean < 5000.0, "{mean} bytes/s per node");
    }
}

/// Guards against a node catching up too slowly after it was disconnected, or not yet started, while the others learned
/// of a crashing request. Until then it forwards what they refuse.
#[test]
fn a_node_that_returns_learns_within_three_seconds() {
    let mut fleet = Fleet::new(9);
    for node in (0..NODES).step_by(20) {
        fleet.disconnected_until[node] = 100;
    }
    while !fleet.send_crashing(1) {
        fleet.step();
    }
    while fleet.round < 100 {
        fleet.step();
    }
    let reconnected_at = fleet.round;
    while fleet.refusing_nodes() < NODES {
        fleet.step();
    }
    let took = ROUND * (fleet.round - reconnected_at) as u32;
    println!("all nodes refuse the request after {took:?}");
    assert!(took < Duration::from_secs(3), "{took:?}");
}
