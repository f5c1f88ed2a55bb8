//! Tests of peer selection: load balancing, ejection, leaving notices, slow start and subsetting.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::{Incarnation, NodeName, ServiceName};
use coltsfootport_core::routing::{
    LoadReport, PeerKey, PeerView, RouteResult, Router, RoutingConfig,
};

const SERVICE: &str = "archive";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn service() -> ServiceName {
    ServiceName::from(SERVICE)
}

/// Creates a peer of the service. Its region is the first letter of its failure domain.
fn view(node: &str, domain: &str) -> PeerView {
    PeerView {
        node: NodeName::from(node),
        service: service(),
        domain: domain.into(),
        region: domain[..1].into(),
        incarnation: None,
        leaving: false,
    }
}

fn config(node: &str, domain: &str) -> RoutingConfig {
    RoutingConfig {
        node: node.into(),
        domain: domain.into(),
        region: domain[..1].into(),
        ..RoutingConfig::default()
    }
}

/// Creates a router in failure domain `a1` with the given peers.
fn router(peers: &[(&str, &str)], now: Instant) -> Router {
    let mut router = Router::new(config("self", "a1"));
    router.update(
        peers
            .iter()
            .map(|(node, domain)| view(node, domain))
            .collect(),
        now,
    );
    router
}

fn key(router: &Router, node: &str) -> PeerKey {
    router.key_of(&node.into()).expect("a listed node")
}

/// Counts how often each node is picked in 1000 picks without load.
fn picks(router: &mut Router, excluded: &[PeerKey], now: Instant) -> Map<String, usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut picks = Map::default();
    for _ in 0..1000 {
        if let Some(key) = router.pick(&service(), excluded, now, &mut rng) {
            let node = router.peer(key).expect("a known peer").node.to_string();
            *picks.entry(node).or_default() += 1;
        }
    }
    picks
}

fn names(picks: &Map<String, usize>) -> Vec<&str> {
    let mut names: Vec<_> = picks.keys().map(String::as_str).collect();
    names.sort_unstable();
    names
}

/// Sends one attempt to a peer that ends after `took`.
fn attempt(router: &mut Router, key: PeerKey, result: RouteResult, took: Duration, now: Instant) {
    router.sent(key, now);
    router.done(key, result, LoadReport::default(), now + took);
}

fn fail(router: &mut Router, node: &str, times: u32, now: Instant) {
    let key = key(router, node);
    (0..times).for_each(|_| attempt(router, key, RouteResult::Lost, ms(0), now));
}

#[test]
fn the_own_failure_domain_goes_first_and_spills_over() {
    let peers = [("n1", "a1"), ("n2", "a1"), ("r1", "a2"), ("f1", "b1")];
    let full = LoadReport {
        in_flight: 18,
        queued: 4,
        limit: 20,
    };
    struct Case {
        name: &'static str,
        full: &'static [&'static str],
        failed: &'static [&'static str],
        excluded: &'static [&'static str],
        picked: &'static [&'static str],
    }
    let none = Case {
        name: "quiet",
        full: &[],
        failed: &[],
        excluded: &[],
        picked: &["n1", "n2"],
    };
    let cases = [
        Case {
            name: "one is full",
            full: &["n1"],
            picked: &["n2"],
            ..none
        },
        Case {
            name: "both full",
            full: &["n1", "n2"],
            picked: &["f1", "r1"],
            ..none
        },
        Case {
            name: "one ejected",
            failed: &["n1"],
            picked: &["n2"],
            ..none
        },
        Case {
            name: "one tried before",
            excluded: &["n2"],
            picked: &["n1"],
            ..none
        },
        Case {
            name: "both tried",
            excluded: &["n1", "n2"],
            picked: &["f1", "r1"],
            ..none
        },
        Case {
            name: "ejected and tried",
            failed: &["n1"],
            excluded: &["n2"],
            picked: &["f1", "r1"],
            ..none
        },
        Case {
            name: "all tried",
            excluded: &["n1", "n2", "r1", "f1"],
            picked: &[],
            ..none
        },
        none,
    ];
    for Case {
        name,
        full: filled,
        failed,
        excluded,
        picked,
    } in cases
    {
        let now = Instant::now();
        let mut router = router(&peers, now);
        for node in filled {
            let key = key(&router, node);
            router.sent(key, now);
            router.done(key, RouteResult::Served, full, now);
        }
        failed
            .iter()
            .for_each(|node| fail(&mut router, node, 5, now));
        let excluded: Vec<_> = excluded.iter().map(|node| key(&router, node)).collect();
        assert_eq!(names(&picks(&mut router, &excluded, now)), picked, "{name}");
    }
}

#[test]
fn two_choices_prefer_the_less_loaded_and_the_faster() {
    let now = Instant::now();
    let mut loaded = router(&[("n1", "a1"), ("n2", "a1")], now);
    let busy = key(&loaded, "n1");
    (0..5).for_each(|_| loaded.sent(busy, now));
    assert_eq!(
        names(&picks(&mut loaded, &[], now)),
        ["n2"],
        "own calls in flight"
    );

    let mut slow = router(&[("n1", "a1"), ("n2", "a1")], now);
    let [n1, n2] = ["n1", "n2"].map(|node| key(&slow, node));
    attempt(&mut slow, n1, RouteResult::Served, ms(100), now);
    attempt(&mut slow, n2, RouteResult::Served, ms(5), now);
    assert_eq!(
        names(&picks(&mut slow, &[], now + ms(100))),
        ["n2"],
        "latency"
    );

    let mut shedding = router(&[("n1", "a1"), ("n2", "a1")], now);
    let [n1, n2] = ["n1", "n2"].map(|node| key(&shedding, node));
    attempt(&mut shedding, n2, RouteResult::Served, ms(5), now);
    attempt(&mut shedding, n1, RouteResult::Served, ms(5), now);
    (0..3).for_each(|_| attempt(&mut shedding, n1, RouteResult::Shed, ms(0), now + ms(5)));
    assert_eq!(
        names(&picks(&mut shedding, &[], now + ms(5))),
        ["n2"],
        "fast refusals must not make a peer look fast"
    );
}

/// Two peers answer within 5 ms, then one stops answering with calls in flight. A latency estimate based on finished
/// calls only would not change, and calls would continue to the frozen peer until the first timeouts.
#[test]
fn a_frozen_peer_is_avoided_before_its_first_timeout() {
    let now = Instant::now();
    let mut router = router(&[("n1", "a1"), ("n2", "a1")], now);
    let [n1, n2] = ["n1", "n2"].map(|node| key(&router, node));
    for n in 0..20 {
        attempt(
            &mut router,
            n1,
            RouteResult::Served,
            ms(5),
            now + ms(10 * n),
        );
        attempt(
            &mut router,
            n2,
            RouteResult::Served,
            ms(5),
            now + ms(10 * n),
        );
    }
    let then = now + ms(200);
    router.sent(n1, then);
    router.sent(n2, then);
    router.done(n2, RouteResult::Served, LoadReport::default(), then + ms(5));
    // In-flight load alone would favour n1, because n2 has more calls in flight.
    router.sent(n2, then + ms(100));
    router.sent(n2, then + ms(100));
    assert_eq!(names(&picks(&mut router, &[], then + ms(100))), ["n2"]);
}

/// A healthy peer whose first call was slow, such as one including a handshake, loses every comparison. If the latency
/// estimate of an idle peer did not expire, the peer would get no call for minutes.
#[test]
fn a_peer_that_was_slow_once_is_tried_again() {
    let start = Instant::now();
    let mut router = router(&[("n1", "a1"), ("n2", "a1"), ("n3", "a1")], start);
    let slow = key(&router, "n3");
    attempt(&mut router, slow, RouteResult::Served, ms(800), start);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut picked = 0;
    for i in 0..1000 {
        let now = start + ms(1000 + 10 * i);
        let peer = router.pick(&service(), &[], now, &mut rng);
        let peer = peer.expect("a live peer");
        picked += usize::from(peer == slow);
        attempt(&mut router, peer, RouteResult::Served, ms(8), now);
    }
    assert!(picked > 100, "{picked} of 1000 calls in 10 s");
}

/// All peers fail because of a shared dependency. Without a bound on ejection, every peer would be ejected or the last
/// one would get the whole load.
#[test]
fn ejection_is_bounded_and_timed() {
    struct Case {
        peers: usize,
        ejected: usize,
    }
    let cases = [(1, 0), (2, 1), (3, 1), (4, 1), (6, 2), (8, 2)];
    for Case { peers, ejected } in cases.map(|(peers, ejected)| Case { peers, ejected }) {
        let now = Instant::now();
        let nodes: Vec<_> = (0..peers).map(|n| format!("n{n}")).collect();
        let listed: Vec<_> = nodes.iter().map(|node| (node.as_str(), "a1")).collect();
        let mut router = router(&listed, now);
        nodes
            .iter()
            .for_each(|node| fail(&mut router, node, 4, now));
        let count = |router: &Router, now| {
            nodes
                .iter()
                .filter(|node| router.is_ejected(key(router, node), now))
                .count()
        };
        assert_eq!(count(&router, now), 0, "{peers} peers, four failures");
        nodes
            .iter()
            .for_each(|node| fail(&mut router, node, 10, now));
        assert_eq!(count(&router, now), ejected, "{peers} peers");
        assert_eq!(picks(&mut router, &[], now).values().sum::<usize>(), 1000);
        assert_eq!(
            count(&router, now + ms(999)),
            ejected,
            "{peers} peers, still ejected"
        );
        assert_eq!(
            count(&router, now + ms(1000)),
            0,
            "{peers} peers, readmitted"
        );
        let Some(first) = nodes
            .iter()
            .find(|node| router.is_ejected(key(&router, node), now))
        else {
            continue;
        };
        let readmitted = now + ms(1000);
        fail(&mut router, first, 1, readmitted);
        assert!(
            router.is_ejected(key(&router, first), readmitted + ms(1999)),
            "twice as long"
        );
        let later = readmitted + ms(2000);
        let first = key(&router, first);
        attempt(&mut router, first, RouteResult::Served, ms(1), later);
        router.sent(first, later);
        router.done(first, RouteResult::Failed, LoadReport::default(), later);
        assert!(
            !router.is_ejected(first, later),
            "a success resets the failure count"
        );
    }
}

/// A node announces in an answer that it is leaving, but the platform's list shows it as live for some more seconds.
/// The next list must not overwrite the announcement, or the target would get new work.
#[test]
fn leaving_beats_the_list_until_a_new_incarnation() {
    let [old, new] = [Incarnation(1), Incarnation(2)];
    let list = |incarnation, leaving| {
        let n1 = PeerView {
            incarnation,
            leaving,
            ..view("n1", "a1")
        };
        vec![n1, view("n2", "a1")]
    };
    struct Case {
        name: &'static str,
        /// Lists applied after the node announced that it is leaving.
        lists: Vec<Vec<PeerView>>,
        live: bool,
    }
    let cases = [
        Case {
            name: "no list",
            lists: vec![],
            live: false,
        },
        Case {
            name: "lagging list",
            lists: vec![list(None, false), list(Some(old), false)],
            live: false,
        },
        Case {
            name: "confirmed",
            lists: vec![list(None, true)],
            live: false,
        },
        Case {
            name: "new incarnation",
            lists: vec![list(Some(new), false)],
            live: true,
        },
        Case {
            name: "confirmed, then live",
            lists: vec![list(None, true), list(None, false)],
            live: true,
        },
        Case {
            name: "gone, then live",
            lists: vec![vec![view("n2", "a1")], list(None, false)],
            live: true,
        },
    ];
    for Case { name, lists, live } in cases {
        let now = Instant::now();
        let mut router = Router::new(config("self", "a1"));
        router.update(list(Some(old), false), now);
        router.record_leaving(&"n1".into(), old);
        lists.into_iter().for_each(|list| router.update(list, now));
        let later = now + ms(60_000);
        let nodes: &[_] = if live { &["n1", "n2"] } else { &["n2"] };
        assert_eq!(names(&picks(&mut router, &[], later)), nodes, "{name}");
        router.record_leaving(&"n1".into(), old);
        let still = names(&picks(&mut router, &[], later)).contains(&"n1");
        assert_eq!(still, live, "{name}: late notice of the older incarnation");
    }
}

/// A peer joins or is replaced among busy ones. Selection by load alone would always prefer it and overload the cold
/// target, so that its first calls would be shed or late.
#[test]
fn fresh_incarnations_start_slowly() {
    let now = Instant::now();
    let mut router = router(&[("n1", "a1"), ("n2", "a1")], now);
    let share = |router: &mut Router, now| {
        for node in ["n1", "n2"] {
            let key = key(router, node);
            (0..4).for_each(|_| router.sent(key, now));
        }
        let picked = picks(router, &[], now).get("n3").copied().unwrap_or(0);
        for node in ["n1", "n2"] {
            let key = key(router, node);
            (0..4).for_each(|_| {
                router.done(key, RouteResult::Cancelled, LoadReport::default(), now);
            });
        }
        picked
    };
    let listed = ["n1", "n2", "n3"].map(|node| view(node, "a1"));
    router.update(listed.to_vec(), now);
    assert_eq!(share(&mut router, now), 0, "fresh");
    assert!(share(&mut router, now + ms(5000)) > 500, "warm");
    let with_incarnation = |n| PeerView {
        incarnation: Some(Incarnation(n)),
        ..view("n3", "a1")
    };
    router.update(
        vec![listed[0].clone(), listed[1].clone(), with_incarnation(1)],
        now + ms(6000),
    );
    assert!(
        share(&mut router, now + ms(6000)) > 500,
        "its incarnation became known"
    );
    router.update(
        vec![listed[0].clone(), listed[1].clone(), with_incarnation(2)],
        now + ms(7000),
    );
    assert_eq!(share(&mut router, now + ms(7000)), 0, "replaced");
}

/// Creates 1,400 nodes in 3 regions with 7 failure domains, running 180 services of 2 to 200 instances.
fn fleet() -> Vec<PeerView> {
    let domains = ["a1", "a2", "a3", "b1", "b2", "c1", "c2"];
    let sizes = [200usize, 100, 60, 40]
        .into_iter()
        .chain([6; 112])
        .chain([5; 64]);
    let mut fleet = Vec::new();
    for (n, size) in sizes.enumerate() {
        for instance in 0..size {
            let domain = domains[(n + instance) % domains.len()];
            let node = format!("s{n}-{instance}");
            let service = format!("s{n}").as_str().into();
            fleet.push(PeerView {
                service,
                ..view(&node, domain)
            });
        }
    }
    fleet.truncate(1400);
    fleet
}

#[test]
fn subsets_are_small_near_and_balanced_at_1400_nodes() {
    let now = Instant::now();
    let fleet = fleet();
    let services = ["s0", "s1", "s2", "s3", "s9", "s150"];
    let mut held: Map<(usize, NodeName), usize> = Map::default();
    let mut largest = 0;
    let mut peers = Vec::new();
    for node in &fleet {
        let own = config(node.node.as_str(), node.domain.as_str());
        let mut router = Router::new(own.clone());
        router.update(fleet.clone(), now);
        let mut total = 0;
        for (n, service) in services.into_iter().enumerate() {
            let members = fleet.iter().filter(|peer| peer.service.as_str() == service);
            let near = members
                .clone()
                .filter(|peer| peer.domain == own.domain)
                .count();
            let subset = router.subset(&service.into());
            let size = subset.len();
            let held_near = |key: &&PeerKey| router.peer(**key).unwrap().domain == own.domain;
            assert_eq!(
                subset.iter().filter(held_near).count(),
                near.min(own.subset_near)
            );
            assert!(
                size >= own.subset_min.min(members.count()) && size <= 12,
                "{service}: {size}"
            );
            for key in subset {
                let name = router.peer(key).unwrap().node.clone();
                *held.entry((n, name)).or_default() += 1;
            }
            largest = largest.max(size);
            total += size;
        }
        peers.push(total);
    }
    for (n, service) in services.into_iter().enumerate() {
        let members = fleet.iter().filter(|peer| peer.service.as_str() == service);
        let counts: Vec<_> = members
            .map(|peer| held.get(&(n, peer.node.clone())).copied().unwrap_or(0))
            .collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        let (min, max) = (*counts.iter().min().unwrap(), *counts.iter().max().unwrap());
        println!(
            "{service}: {} instances, held by {min} to {max} nodes, mean {mean:.1}",
            counts.len()
        );
        assert!(min > 0, "{service}: an instance in no subset");
        assert!(
            max as f64 <= 2.0 * mean,
            "{service}: {max} against a mean of {mean}"
        );
    }
    println!("largest subset {largest}");
}

#[test]
fn a_subset_changes_only_where_a_peer_comes_or_goes() {
    let now = Instant::now();
    let peers: Vec<_> = (0..100).map(|n| view(&format!("n{n}"), "a1")).collect();
    let mut router = Router::new(config("self", "a1"));
    router.update(peers.clone(), now);
    let nodes = |router: &Router| {
        let node = |key| router.peer(key).unwrap().node.clone();
        router
            .subset(&service())
            .into_iter()
            .map(node)
            .collect::<Vec<_>>()
    };
    let before = nodes(&router);
    let gone = before[0].clone();
    let left: Vec<_> = peers
        .iter()
        .filter(|peer| peer.node != gone)
        .cloned()
        .collect();
    router.update(left, now);
    let after = nodes(&router);
    assert_eq!(
        after.iter().filter(|node| before.contains(node)).count(),
        before.len() - 1
    );
    router.update(peers, now);
    assert_eq!(nodes(&router), before);
}

#[derive(Clone, Debug)]
enum Step {
    Done { peer: usize, result: RouteResult },
    Leaving { peer: usize, late: bool },
    List { leaving: Vec<bool>, gone: Vec<bool> },
    Wait { millis: u16 },
}

const PEERS: usize = 16;

fn step() -> impl Strategy<Value = Step> {
    let result = prop_oneof![
        1 => Just(RouteResult::Served),
        1 => Just(RouteResult::Shed),
        3 => Just(RouteResult::Failed),
        3 => Just(RouteResult::Lost),
    ];
    let flags = || prop::collection::vec(prop::bool::weighted(0.2), PEERS);
    prop_oneof![
        12 => (0..PEERS, result).prop_map(|(peer, result)| Step::Done { peer, result }),
        1 => (0..PEERS, any::<bool>()).prop_map(|(peer, late)| Step::Leaving { peer, late }),
        1 => (flags(), flags()).prop_map(|(leaving, gone)| Step::List { leaving, gone }),
        2 => (0..2000u16).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Random failures, departures, list updates and waits. The combination of subsetting, ejection and exclusion must not
/// leave a call without a target while a live peer exists, and a leaving node must never be picked.
#[test]
fn a_live_peer_is_always_found_and_a_leaving_one_never() {
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let steps = prop::collection::vec(step(), 0..200);
    let strategy = (steps, any::<u64>());
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |(steps, seed)| check_random_steps(steps, seed))
        .unwrap();
}

fn check_random_steps(steps: Vec<Step>, seed: u64) -> Result<(), TestCaseError> {
    let domains = ["a1", "a2", "b1"];
    let all: Vec<_> = (0..PEERS)
        .map(|n| view(&format!("n{n}"), domains[n % domains.len()]))
        .collect();
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut router = Router::new(config("self", "a1"));
    router.update(all.clone(), now);
    // Reference model of each peer's expected state.
    let mut listed = [true; PEERS];
    let mut listed_leaving = [false; PEERS];
    let mut announced = [false; PEERS];
    let mut incarnations = [0u128; PEERS];
    for step in steps {
        match step {
            Step::Done { peer, result } => {
                if let Some(key) = router.key_of(&all[peer].node) {
                    attempt(&mut router, key, result, ms(0), now);
                }
            }
            Step::Leaving { peer, late } => {
                let late = late && incarnations[peer] > 0;
                let incarnation = incarnations[peer] - u128::from(late);
                let incarnation = Incarnation(peer as u128 * 1000 + incarnation);
                router.record_leaving(&all[peer].node, incarnation);
                announced[peer] |= listed[peer] && !late;
            }
            Step::List { leaving, gone } => {
                for n in 0..PEERS {
                    let returned = listed_leaving[n] && !leaving[n];
                    let replaced = announced[n] && (gone[n] || returned);
                    incarnations[n] += u128::from(replaced);
                    announced[n] &= !replaced;
                    listed[n] = !gone[n];
                    listed_leaving[n] = listed[n] && leaving[n];
                }
                let shown = (0..PEERS).filter(|n| listed[*n]);
                let list = shown.map(|n| PeerView {
                    leaving: leaving[n],
                    ..all[n].clone()
                });
                router.update(list.collect(), now);
            }
            Step::Wait { millis } => now += ms(millis.into()),
        }
        let live: Vec<_> = (0..PEERS)
            .filter(|n| listed[*n] && !listed_leaving[*n] && !announced[*n])
            .collect();
        let excluded: Vec<_> = (0..PEERS).filter(|_| rng.random_bool(0.2)).collect();
        let keys: Vec<_> = excluded
            .iter()
            .filter_map(|n| router.key_of(&all[*n].node))
            .collect();
        let wanted: Vec<_> = live
            .iter()
            .filter(|n| !excluded.contains(n))
            .map(|n| &all[*n].node)
            .collect();
        let picked = router.pick(&service(), &keys, now, &mut rng);
        let picked = picked.map(|key| router.peer(key).unwrap().node.clone());
        prop_assert_eq!(picked.is_some(), !wanted.is_empty());
        prop_assert!(picked.is_none_or(|node| wanted.contains(&&node)));
        let subset = router.subset(&service());
        let ejected = subset
            .iter()
            .filter(|key| router.is_ejected(**key, now))
            .count();
        // A subset that shrinks may contain peers ejected earlier, so the bound for all peers applies.
        prop_assert!(ejected <= 4, "{} of {} ejected", ejected, subset.len());
    }
    Ok(())
}
