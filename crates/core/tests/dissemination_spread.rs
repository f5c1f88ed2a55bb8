//! Simulations of a fleet of 1,400 nodes: coverage, latency and traffic of pushed changes, and rate of platform reads.

#[path = "support/fleet.rs"]
mod fleet;

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::traffic::{MESSAGE_OVERHEAD, NOTICE_BYTES};
use coltsfootport_core::dissemination::{
    GossipConfig, GossipPlan, NextRead, PushMode, ReaderConfig, ReaderPolicy, TrafficModel,
};
use coltsfootport_core::id::NodeName;
use coltsfootport_core::membership::View;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 1_400;
const DOMAINS: usize = 7;

/// Mean size of a document, in bytes.
const VALUE_BYTES: usize = 2_048;

/// Capacity of the platform, in calls per second of all nodes.
const PLATFORM_CAPACITY: usize = 2_000;

/// Limit on the control traffic of a node, in bytes per second.
const MAX_CONTROL_RATE: f64 = 5_000.0;

/// Time within which a change must be in force on all nodes.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// Pessimistic latency of one message between two regions. A hop takes three messages: notice, pull and reply.
const MESSAGE_LATENCY: Duration = Duration::from_millis(50);

static FLEET: LazyLock<Fleet> = LazyLock::new(Fleet::new);

#[derive(Clone)]
struct Fleet {
    now: Instant,
    view: View,
    plans: Vec<GossipPlan>,
    peers: Vec<Vec<usize>>,
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        let view = fleet::view(NODES, DOMAINS, now);
        let cfg = GossipConfig::default();
        let plans: Vec<GossipPlan> = (0..NODES)
            .map(|index| GossipPlan::new(cfg, &fleet::node(index), &view))
            .collect();
        let peers = plans
            .iter()
            .map(|plan| plan.push_targets().iter().map(index_of).collect())
            .collect();
        Self {
            now,
            view,
            plans,
            peers,
        }
    }

    fn readers(&self) -> Vec<usize> {
        let policy = ReaderPolicy::new(ReaderConfig::default());
        let reads = |index: &usize| policy.is_reader(&fleet::node(*index), &self.view, self.now);
        (0..NODES).filter(reads).collect()
    }
}

fn index_of(node: &NodeName) -> usize {
    node.as_str()
        .trim_start_matches("node-")
        .parse()
        .expect("a node of the fleet")
}

struct SpreadCase {
    name: &'static str,
    mode: PushMode,
    /// Fraction of messages lost.
    loss: f64,
    /// Fraction of nodes that failed but are still present in all views.
    failed: f64,
    /// Whether only one reader receives the change, instead of two per failure domain.
    one_reader: bool,
    /// Maximum number of push hops.
    hops: usize,
    /// Maximum number of digest rounds needed after the pushes.
    digest_rounds: usize,
}

struct SpreadResult {
    hops: usize,
    reached_by_push: usize,
    digest_rounds: usize,
    messages: usize,
    bytes: f64,
}

/// Guards against a change that comes into force late on some nodes or exceeds the traffic limit. While messages are
/// lost and nodes have failed, the stable peer sets must reach the other nodes in few hops, and digests must find those
/// missed.
#[test]
fn a_change_reaches_all_nodes_within_seconds_and_few_bytes() {
    let mut fleet = FLEET.clone();
    let base = SpreadCase {
        name: "",
        mode: PushMode::Notice,
        loss: 0.0,
        failed: 0.0,
        one_reader: false,
        hops: 6,
        digest_rounds: 0,
    };
    #[rustfmt::skip]
    let cases = [
        SpreadCase { name: "no faults", ..base },
        SpreadCase { name: "pushed in full", mode: PushMode::Full, ..base },
        SpreadCase { name: "one reader", one_reader: true, hops: 9, ..base },
        SpreadCase { name: "5 % lost", loss: 0.05, hops: 8, digest_rounds: 1, ..base },
        SpreadCase { name: "20 % lost", loss: 0.2, hops: 9, digest_rounds: 3, ..base },
        SpreadCase { name: "60 % lost", loss: 0.6, hops: 12, digest_rounds: 6, ..base },
        // As many nodes as one failure domain has.
        SpreadCase {
            name: "a seventh failed", failed: 1.0 / 7.0, hops: 8, digest_rounds: 2, ..base
        },
    ];
    for case in cases {
        let result = spread(&mut fleet, &case);
        println!(
            "{}: {} hops, {} of {NODES} by push, {} rounds of digests, {:.1} messages and {:.0} bytes a node",
            case.name,
            result.hops,
            result.reached_by_push,
            result.digest_rounds,
            result.messages as f64 / NODES as f64,
            result.bytes / NODES as f64
        );
        assert!(
            result.hops <= case.hops,
            "{}: hops {}",
            case.name,
            result.hops
        );
        let rounds = result.digest_rounds;
        assert!(
            rounds <= case.digest_rounds,
            "{}: digests {rounds}",
            case.name
        );
        // The exchange after a digest finishes before the next round.
        let push_time = MESSAGE_LATENCY * 3 * result.hops as u32;
        let total = push_time + GossipConfig::default().digest_interval * rounds as u32;
        assert!(total < IN_FORCE_WITHIN, "{}: {total:?}", case.name);
    }
}

/// Guards against peers, pushes or digests that exceed the control traffic limit of a node with 6,000 changes per day
/// and the daily replacements of nodes.
#[test]
fn control_traffic_stays_within_the_limit_of_a_node() {
    let traffic = TrafficModel::default().estimate(&GossipConfig::default());
    println!(
        "a node sends {traffic:?}, {:.0} bytes per second",
        traffic.total()
    );
    assert!(
        traffic.total() * 2.0 < MAX_CONTROL_RATE,
        "the limit covers sent and received traffic"
    );
    let full_pushes = GossipConfig {
        max_pushed_bytes: usize::MAX,
        ..GossipConfig::default()
    };
    assert!(TrafficModel::default().estimate(&full_pushes).entries > traffic.entries);
}

fn spread(fleet: &mut Fleet, case: &SpreadCase) -> SpreadResult {
    let mut rng = StdRng::seed_from_u64(21);
    let alive: Vec<bool> = (0..NODES).map(|_| !rng.random_bool(case.failed)).collect();
    let mut readers: Vec<usize> = fleet
        .readers()
        .into_iter()
        .filter(|index| alive[*index])
        .collect();
    readers.truncate(if case.one_reader { 1 } else { NODES });
    let mut has = vec![false; NODES];
    readers.iter().for_each(|index| has[*index] = true);
    let mut result = SpreadResult {
        hops: 0,
        reached_by_push: 0,
        digest_rounds: 0,
        messages: 0,
        bytes: 0.0,
    };
    push(
        fleet,
        case,
        &alive,
        &mut has,
        readers,
        &mut result,
        &mut rng,
    );
    let incomplete = |has: &[bool]| (0..NODES).any(|index| alive[index] && !has[index]);
    result.reached_by_push = has.iter().filter(|has| **has).count();
    while incomplete(&has) && result.digest_rounds < 60 {
        result.digest_rounds += 1;
        let now = fleet.now + Duration::from_secs(10 * result.digest_rounds as u64);
        let found = digests(fleet, case, &alive, &has, now, &mut rng);
        result.messages += found.len();
        result.bytes += found.len() as f64 * (MESSAGE_OVERHEAD + VALUE_BYTES as f64);
        found.iter().for_each(|index| has[*index] = true);
        push(fleet, case, &alive, &mut has, found, &mut result, &mut rng);
    }
    result
}

/// Forwards the change from the nodes that have just received it until no further node is reached.
fn push(
    fleet: &Fleet,
    case: &SpreadCase,
    alive: &[bool],
    has: &mut [bool],
    mut from: Vec<usize>,
    result: &mut SpreadResult,
    rng: &mut StdRng,
) {
    let mut hops = 0;
    while !from.is_empty() {
        let mut next = Vec::new();
        for peer in from.iter().flat_map(|index| &fleet.peers[*index]) {
            result.messages += 1;
            result.bytes += MESSAGE_OVERHEAD + NOTICE_BYTES;
            if case.mode == PushMode::Full {
                result.bytes += VALUE_BYTES as f64;
            }
            if !alive[*peer] || rng.random_bool(case.loss) || has[*peer] {
                continue;
            }
            has[*peer] = true;
            next.push(*peer);
            if case.mode == PushMode::Notice {
                result.messages += 2;
                result.bytes += 2.0 * (MESSAGE_OVERHEAD + NOTICE_BYTES) + VALUE_BYTES as f64;
            }
        }
        hops += usize::from(!next.is_empty());
        from = next;
    }
    result.hops = result.hops.max(hops);
}

/// Sends one digest from each node. Returns the nodes that receive the change through it.
fn digests(
    fleet: &mut Fleet,
    case: &SpreadCase,
    alive: &[bool],
    has: &[bool],
    now: Instant,
    rng: &mut StdRng,
) -> Vec<usize> {
    let mut found = Vec::new();
    for index in (0..NODES).filter(|index| alive[*index]) {
        let Some(peer) = fleet.plans[index].digest_peer(now, rng).map(index_of) else {
            continue;
        };
        if !alive[peer] || rng.random_bool(case.loss) || has[index] == has[peer] {
            continue;
        }
        found.push(if has[index] { peer } else { index });
    }
    found.sort_unstable();
    found.dedup();
    found
}

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Steady,
    StartTogether,
    PlatformDown,
    ReadersFailed,
    /// Nodes can't reach each other, for instance because of an expired certificate, but all reach the platform.
    Isolated,
}

struct ReadCase {
    name: &'static str,
    scenario: Scenario,
    /// Maximum number of calls in any second.
    peak: usize,
    /// Maximum mean number of calls per second after the first ten seconds.
    mean: usize,
    /// Maximum age in seconds of the last read known to a node, at the end.
    age: u64,
}

/// Guards against more reads than the platform can serve, so that it refuses all of them, and against late reads.
/// Overload arises if the nodes read in sync or if every node reads at the rate of a reader.
#[test]
fn reads_stay_within_the_capacity_of_the_platform() {
    let mut fleet = FLEET.clone();
    #[rustfmt::skip]
    let cases = [
        ReadCase { name: "steady", scenario: Scenario::Steady, peak: 150, mean: 60, age: 10 },
        ReadCase {
            name: "all start together", scenario: Scenario::StartTogether, peak: 1_300, mean: 60,
            age: 10,
        },
        ReadCase {
            name: "platform down", scenario: Scenario::PlatformDown, peak: 1_300, mean: 400, age: 61,
        },
        ReadCase {
            name: "all readers failed", scenario: Scenario::ReadersFailed, peak: 1_300, mean: 100,
            age: 10,
        },
        ReadCase {
            name: "nodes isolated from each other", scenario: Scenario::Isolated, peak: 1_300,
            mean: 1_100, age: 6,
        },
    ];
    for case in cases {
        let (calls, age) = reads(&mut fleet, case.scenario);
        let peak = calls.iter().max().copied().unwrap_or(0);
        let settled = &calls[10..];
        let mean = settled.iter().sum::<usize>() / settled.len();
        println!(
            "{}: peak {peak} per second, mean {mean}, oldest known read {age:?}",
            case.name
        );
        assert!(
            peak <= case.peak && case.peak < PLATFORM_CAPACITY,
            "{}: peak {peak}",
            case.name
        );
        assert!(mean <= case.mean, "{}: mean {mean}", case.name);
        assert!(
            age <= Duration::from_secs(case.age),
            "{}: age {age:?}",
            case.name
        );
    }
}

/// Simulates one minute of reads and digests. Returns the calls in each second and the highest age at the end.
fn reads(fleet: &mut Fleet, scenario: Scenario) -> (Vec<usize>, Duration) {
    const SECONDS: u64 = 60;
    const TICKS_PER_SECOND: u64 = 4;
    let mut rng = StdRng::seed_from_u64(22);
    let cfg = ReaderConfig::default();
    // Plans keep the time of their next digest, so each scenario starts after the previous one.
    fleet.now += Duration::from_secs(3_600);
    let start = fleet.now;
    let failed: Vec<usize> = if scenario == Scenario::ReadersFailed {
        fleet.readers()
    } else {
        Vec::new()
    };
    let mut policies: Vec<ReaderPolicy> = (0..NODES).map(|_| ReaderPolicy::new(cfg)).collect();
    if scenario != Scenario::StartTogether {
        policies
            .iter_mut()
            .for_each(|policy| policy.read_succeeded(start));
        update_views(fleet, scenario, &mut policies, start);
    }
    let mut watches: Vec<Option<Instant>> = vec![None; NODES];
    let mut calls = vec![0; SECONDS as usize];
    for tick in 0..SECONDS * TICKS_PER_SECOND {
        let now = start + Duration::from_millis(tick * 1_000 / TICKS_PER_SECOND);
        let second = (tick / TICKS_PER_SECOND) as usize;
        if scenario == Scenario::StartTogether && tick == 5 * TICKS_PER_SECOND {
            update_views(fleet, scenario, &mut policies, now);
        }
        for index in (0..NODES).filter(|index| !failed.contains(index)) {
            let policy = &mut policies[index];
            if watches[index].is_some_and(|until| now < until) {
                continue;
            }
            if watches[index].take().is_some() {
                policy.read_succeeded(now);
            }
            match policy.next_read(now, &mut rng) {
                NextRead::At(at) if now < at => continue,
                _ if !policy.try_begin_read() => continue,
                NextRead::Watch if scenario != Scenario::PlatformDown => {
                    // The first watches end at random times, because watches in a running fleet are not in sync.
                    let wait = cfg
                        .watch_wait
                        .mul_f64(if tick == 0 { rng.random() } else { 1.0 });
                    watches[index] = Some(now + wait);
                }
                _ if scenario == Scenario::PlatformDown => policy.read_failed(now),
                _ => policy.read_succeeded(now),
            }
            calls[second] += cfg.calls_per_read as usize;
        }
        if tick % TICKS_PER_SECOND == 0 && scenario != Scenario::Isolated {
            exchange_read_ages(fleet, &failed, &mut policies, now, &mut rng);
        }
    }
    let end = start + Duration::from_secs(SECONDS);
    let alive = (0..NODES).filter(|index| !failed.contains(index));
    let age = alive
        .filter_map(|index| policies[index].read_age(end))
        .max();
    (calls, age.unwrap_or_default())
}

fn update_views(fleet: &Fleet, scenario: Scenario, policies: &mut [ReaderPolicy], now: Instant) {
    let mut view = fleet.view.clone();
    if scenario == Scenario::Isolated {
        // All nodes can share one view, since a node never treats itself as unreachable.
        (0..NODES).for_each(|index| view.unreachable(&fleet::node(index), now));
    }
    for (index, policy) in policies.iter_mut().enumerate() {
        policy.update_view(&fleet::node(index), &view, now);
    }
}

fn exchange_read_ages(
    fleet: &mut Fleet,
    failed: &[usize],
    policies: &mut [ReaderPolicy],
    now: Instant,
    rng: &mut StdRng,
) {
    for index in 0..NODES {
        let Some(peer) = fleet.plans[index].digest_peer(now, rng).map(index_of) else {
            continue;
        };
        if failed.contains(&index) || failed.contains(&peer) {
            continue;
        }
        let ages = (policies[index].read_age(now), policies[peer].read_age(now));
        if let Some(age) = ages.0 {
            policies[peer].record_peer_read_age(age, now);
        }
        if let Some(age) = ages.1 {
            policies[index].record_peer_read_age(age, now);
        }
    }
}
