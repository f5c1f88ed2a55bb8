//! How far, how fast and at what cost news spreads over 1,400 nodes, and how often they read the platform.

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

/// Mean size of a document.
const VALUE_BYTES: usize = 2_048;

/// What the platform bears, in calls a second of all readers.
const PLATFORM_RATE: usize = 2_000;

/// What a node may spend on control, in bytes a second.
const NODE_RATE: f64 = 5_000.0;

/// Time after which a change has to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// A pessimistic time of one message between two regions. A hop takes three: notice, pull and answer.
const MESSAGE_TIME: Duration = Duration::from_millis(50);

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

struct Spread {
    name: &'static str,
    form: PushMode,
    /// Share of messages lost.
    loss: f64,
    /// Share of nodes that are gone though everybody's view still has them.
    gone: f64,
    /// Whether one reader alone gets the change, in place of two in each domain.
    one_reader: bool,
    /// Bound on hops of pushes, and on rounds of digests needed after them.
    hops: usize,
    digest_rounds: usize,
}

struct Measured {
    hops: usize,
    by_push: usize,
    digest_rounds: usize,
    messages: usize,
    bytes: f64,
}

/// Symptom: a change is in force late at some nodes, or costs more than a node may spend. Sequence: a change reaches the
/// readers and is passed on; messages are lost and nodes are gone. Cause: the fixed peers don't reach everybody in few
/// hops, or the digests don't find who was left out.
#[test]
fn a_change_reaches_all_nodes_within_seconds_and_few_bytes() {
    let mut fleet = FLEET.clone();
    let base = Spread {
        name: "",
        form: PushMode::Notice,
        loss: 0.0,
        gone: 0.0,
        one_reader: false,
        hops: 6,
        digest_rounds: 0,
    };
    #[rustfmt::skip]
    let cases = [
        Spread { name: "all well", ..base },
        Spread { name: "pushed whole", form: PushMode::Full, ..base },
        Spread { name: "one reader", one_reader: true, hops: 9, ..base },
        Spread { name: "5 % lost", loss: 0.05, hops: 8, digest_rounds: 1, ..base },
        Spread { name: "20 % lost", loss: 0.2, hops: 9, digest_rounds: 3, ..base },
        Spread { name: "60 % lost", loss: 0.6, hops: 12, digest_rounds: 6, ..base },
        Spread {
            name: "a domain's worth gone", gone: 1.0 / 7.0, hops: 8, digest_rounds: 2, ..base
        },
    ];
    for case in cases {
        let measured = spread(&mut fleet, &case);
        println!(
            "{}: {} hops, {} of {NODES} by push, {} rounds of digests, {:.1} messages and {:.0} bytes a node",
            case.name,
            measured.hops,
            measured.by_push,
            measured.digest_rounds,
            measured.messages as f64 / NODES as f64,
            measured.bytes / NODES as f64
        );
        assert!(
            measured.hops <= case.hops,
            "{}: hops {}",
            case.name,
            measured.hops
        );
        let rounds = measured.digest_rounds;
        assert!(
            rounds <= case.digest_rounds,
            "{}: digests {rounds}",
            case.name
        );
        // The exchange that a digest starts takes less than the time to the next round.
        let pushing = MESSAGE_TIME * 3 * measured.hops as u32;
        let total = pushing + GossipConfig::default().digest_interval * rounds as u32;
        assert!(total < IN_FORCE_WITHIN, "{}: {total:?}", case.name);
    }
}

/// Symptom: control traffic grows past a node's share. Sequence: 6,000 changes a day and the fleet's daily replacements.
/// Cause: more peers, larger pushes or more digests than the rate bears.
#[test]
fn control_traffic_fits_the_rate_of_a_node() {
    let traffic = TrafficModel::default().estimate(&GossipConfig::default());
    println!(
        "a node sends {traffic:?}, {:.0} bytes a second",
        traffic.total()
    );
    assert!(traffic.total() * 2.0 < NODE_RATE, "sent and received");
    let whole = GossipConfig {
        max_pushed_bytes: usize::MAX,
        ..GossipConfig::default()
    };
    assert!(TrafficModel::default().estimate(&whole).entries > traffic.entries);
}

fn spread(fleet: &mut Fleet, case: &Spread) -> Measured {
    let mut rng = StdRng::seed_from_u64(21);
    let alive: Vec<bool> = (0..NODES).map(|_| !rng.random_bool(case.gone)).collect();
    let mut readers: Vec<usize> = fleet
        .readers()
        .into_iter()
        .filter(|index| alive[*index])
        .collect();
    readers.truncate(if case.one_reader { 1 } else { NODES });
    let mut has = vec![false; NODES];
    readers.iter().for_each(|index| has[*index] = true);
    let mut measured = Measured {
        hops: 0,
        by_push: 0,
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
        &mut measured,
        &mut rng,
    );
    let missed = |has: &[bool]| (0..NODES).any(|index| alive[index] && !has[index]);
    measured.by_push = has.iter().filter(|has| **has).count();
    while missed(&has) && measured.digest_rounds < 60 {
        measured.digest_rounds += 1;
        let now = fleet.now + Duration::from_secs(10 * measured.digest_rounds as u64);
        let found = digests(fleet, case, &alive, &has, now, &mut rng);
        measured.messages += found.len();
        measured.bytes += found.len() as f64 * (MESSAGE_OVERHEAD + VALUE_BYTES as f64);
        found.iter().for_each(|index| has[*index] = true);
        push(
            fleet,
            case,
            &alive,
            &mut has,
            found,
            &mut measured,
            &mut rng,
        );
    }
    measured
}

/// Passes news on from the nodes that have just got it until nobody new is reached.
fn push(
    fleet: &Fleet,
    case: &Spread,
    alive: &[bool],
    has: &mut [bool],
    mut from: Vec<usize>,
    measured: &mut Measured,
    rng: &mut StdRng,
) {
    let mut hops = 0;
    while !from.is_empty() {
        let mut next = Vec::new();
        for peer in from.iter().flat_map(|index| &fleet.peers[*index]) {
            measured.messages += 1;
            measured.bytes += MESSAGE_OVERHEAD + NOTICE_BYTES;
            if case.form == PushMode::Full {
                measured.bytes += VALUE_BYTES as f64;
            }
            if !alive[*peer] || rng.random_bool(case.loss) || has[*peer] {
                continue;
            }
            has[*peer] = true;
            next.push(*peer);
            if case.form == PushMode::Notice {
                measured.messages += 2;
                measured.bytes += 2.0 * (MESSAGE_OVERHEAD + NOTICE_BYTES) + VALUE_BYTES as f64;
            }
        }
        hops += usize::from(!next.is_empty());
        from = next;
    }
    measured.hops = measured.hops.max(hops);
}

/// One digest of each node; returns the nodes that get the news by it.
fn digests(
    fleet: &mut Fleet,
    case: &Spread,
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
enum Scene {
    Steady,
    StartTogether,
    PlatformDown,
    ReadersGone,
    /// No node reaches any other, as with an expired certificate, but all reach the platform.
    Isolated,
}

struct Reads {
    name: &'static str,
    scene: Scene,
    /// Bounds on calls in any second, on the mean after ten seconds, and on the age of the last read known to any node.
    peak: usize,
    mean: usize,
    age: u64,
}

/// Symptom: the platform gets more reads than it bears and refuses them all, or changes are read late. Sequence: each
/// case's. Cause: reads in step, or of every node at the rate of a reader.
#[test]
fn reads_stay_within_what_the_platform_bears() {
    let mut fleet = FLEET.clone();
    #[rustfmt::skip]
    let cases = [
        Reads { name: "steady", scene: Scene::Steady, peak: 150, mean: 60, age: 10 },
        Reads {
            name: "all start together", scene: Scene::StartTogether, peak: 1_300, mean: 60, age: 10,
        },
        Reads {
            name: "platform down", scene: Scene::PlatformDown, peak: 1_300, mean: 400, age: 61,
        },
        Reads {
            name: "all readers gone", scene: Scene::ReadersGone, peak: 1_300, mean: 100, age: 10,
        },
        Reads {
            name: "no node reaches another", scene: Scene::Isolated, peak: 1_300, mean: 1_100,
            age: 6,
        },
    ];
    for case in cases {
        let (calls, age) = reads(&mut fleet, case.scene);
        let peak = calls.iter().max().copied().unwrap_or(0);
        let settled = &calls[10..];
        let mean = settled.iter().sum::<usize>() / settled.len();
        println!(
            "{}: peak {peak} a second, mean {mean}, oldest read known {age:?}",
            case.name
        );
        assert!(
            peak <= case.peak && case.peak < PLATFORM_RATE,
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

/// Plays a minute of reads and digests; returns the calls in each second and the greatest age at the end.
fn reads(fleet: &mut Fleet, scene: Scene) -> (Vec<usize>, Duration) {
    const SECONDS: u64 = 60;
    const TICKS: u64 = 4;
    let mut rng = StdRng::seed_from_u64(22);
    let cfg = ReaderConfig::default();
    // Plans remember when their next digest is due, so each scene plays after the one before.
    fleet.now += Duration::from_secs(3_600);
    let start = fleet.now;
    let gone: Vec<usize> = if scene == Scene::ReadersGone {
        fleet.readers()
    } else {
        Vec::new()
    };
    let mut policies: Vec<ReaderPolicy> = (0..NODES).map(|_| ReaderPolicy::new(cfg)).collect();
    if scene != Scene::StartTogether {
        policies
            .iter_mut()
            .for_each(|policy| policy.read_succeeded(start));
        observe(fleet, scene, &mut policies, start);
    }
    let mut watches: Vec<Option<Instant>> = vec![None; NODES];
    let mut calls = vec![0; SECONDS as usize];
    for tick in 0..SECONDS * TICKS {
        let now = start + Duration::from_millis(tick * 1_000 / TICKS);
        let second = (tick / TICKS) as usize;
        if scene == Scene::StartTogether && tick == 5 * TICKS {
            observe(fleet, scene, &mut policies, now);
        }
        for index in (0..NODES).filter(|index| !gone.contains(index)) {
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
                NextRead::Watch if scene != Scene::PlatformDown => {
                    // Watches begin out of step, as they did long before.
                    let wait = cfg
                        .watch_wait
                        .mul_f64(if tick == 0 { rng.random() } else { 1.0 });
                    watches[index] = Some(now + wait);
                }
                _ if scene == Scene::PlatformDown => policy.read_failed(now),
                _ => policy.read_succeeded(now),
            }
            calls[second] += cfg.calls_per_read as usize;
        }
        if tick % TICKS == 0 && scene != Scene::Isolated {
            tell_ages(fleet, &gone, &mut policies, now, &mut rng);
        }
    }
    let end = start + Duration::from_secs(SECONDS);
    let alive = (0..NODES).filter(|index| !gone.contains(index));
    let age = alive
        .filter_map(|index| policies[index].read_age(end))
        .max();
    (calls, age.unwrap_or_default())
}

fn observe(fleet: &Fleet, scene: Scene, policies: &mut [ReaderPolicy], now: Instant) {
    let mut view = fleet.view.clone();
    if scene == Scene::Isolated {
        // One view serves for all, since a node never counts itself as out of reach.
        (0..NODES).for_each(|index| view.unreachable(&fleet::node(index), now));
    }
    for (index, policy) in policies.iter_mut().enumerate() {
        policy.update_view(&fleet::node(index), &view, now);
    }
}

fn tell_ages(
    fleet: &mut Fleet,
    gone: &[usize],
    policies: &mut [ReaderPolicy],
    now: Instant,
    rng: &mut StdRng,
) {
    for index in 0..NODES {
        let Some(peer) = fleet.plans[index].digest_peer(now, rng).map(index_of) else {
            continue;
        };
        if gone.contains(&index) || gone.contains(&peer) {
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
