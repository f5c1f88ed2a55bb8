//! Tests of who reads the publisher and who hears its news from others.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Fleet, FleetConfig, Instance, ReadPlan, ReadPlanner, ReadersConfig, ReadersView,
};

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn view(candidates: &[u8]) -> ReadersView {
    ReadersView {
        instances: 100,
        readers: 6,
        appointed: false,
        candidates: candidates.iter().map(|n| ip(*n)).collect(),
    }
}

fn sorted(mut plan: ReadPlan) -> ReadPlan {
    plan.follow.sort();
    plan
}

struct Bench {
    readers: ReadPlanner,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        Self {
            readers: ReadPlanner::new(ReadersConfig::default()),
            now: Instant::now(),
        }
    }

    fn plan(&mut self, view: &ReadersView, followers: usize) -> ReadPlan {
        sorted(self.readers.plan(view, followers, self.now))
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Both sources of a view are sound for long enough.
    fn settle(&mut self, view: &ReadersView) {
        let plan = self.plan(view, 0);
        for source in plan.follow {
            self.readers.source_reported(source, true);
        }
        self.plan(view, 0);
        self.pass(1500);
    }
}

#[test]
fn who_reads() {
    struct Case {
        name: &'static str,
        view: ReadersView,
        followers: usize,
        read: bool,
        follow: usize,
    }
    let cases = [
        Case {
            name: "a small fleet",
            view: ReadersView {
                instances: 14,
                ..view(&[1, 2])
            },
            followers: 0,
            read: true,
            follow: 0,
        },
        Case {
            name: "appointed in a large fleet",
            view: ReadersView {
                appointed: true,
                ..view(&[1, 2])
            },
            followers: 0,
            read: true,
            follow: 0,
        },
        Case {
            name: "covered by two sources",
            view: view(&[1, 2, 3]),
            followers: 0,
            read: false,
            follow: 2,
        },
        Case {
            name: "covered, but followed by others",
            view: view(&[1, 2, 3]),
            followers: 1,
            read: true,
            follow: 2,
        },
        Case {
            name: "only one candidate",
            view: view(&[1]),
            followers: 0,
            read: true,
            follow: 1,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.settle(&case.view);
        let plan = bench.plan(&case.view, case.followers);
        assert_eq!(plan.read, case.read, "{}", case.name);
        assert_eq!(plan.follow.len(), case.follow, "{}", case.name);
    }
}

/// A single source that is lost or cut off just before a change: its follower heard nothing of the change.
#[test]
fn a_node_reads_for_itself_while_a_source_is_missing() {
    let all = view(&[1, 2, 3]);
    let mut bench = Bench::new();
    assert!(bench.plan(&all, 0).read, "nothing was heard yet");
    bench.settle(&all);
    assert!(!bench.plan(&all, 0).read);
    bench.readers.source_lost(ip(1), bench.now);
    let plan = bench.plan(&all, 0);
    assert!(plan.read, "one source is left");
    assert_eq!(plan.follow, [ip(2), ip(3)], "the next one takes its place");
    bench.readers.source_reported(ip(3), true);
    bench.plan(&all, 0);
    bench.pass(1500);
    assert!(!bench.plan(&all, 0).read);
    bench.readers.source_reported(ip(2), false);
    assert!(bench.plan(&all, 0).read, "a source does not hear the store");
    assert!(bench.readers.any_healthy());
}

#[test]
fn a_lost_source_is_tried_again_later() {
    let all = view(&[1, 2]);
    let mut bench = Bench::new();
    bench.settle(&all);
    bench.readers.source_lost(ip(1), bench.now);
    assert_eq!(bench.plan(&all, 0).follow, [ip(2)]);
    bench.pass(3500);
    assert_eq!(bench.plan(&all, 0).follow, [ip(1), ip(2)]);
}

/// A source that is not appointed any more but still reads: all its followers left it and read for themselves.
#[test]
fn a_sound_source_is_kept_when_others_are_appointed() {
    let mut bench = Bench::new();
    bench.settle(&view(&[1, 2]));
    let later = view(&[2, 3]);
    let plan = bench.plan(&later, 0);
    assert_eq!(plan.follow, [ip(1), ip(2)]);
    assert!(!plan.read);
    bench.readers.source_lost(ip(1), bench.now);
    assert_eq!(bench.plan(&later, 0).follow, [ip(2), ip(3)]);
}

fn instance(n: u8, domain: &str, created: u64) -> Instance {
    Instance {
        id: format!("i-{n}").into(),
        started_at_ms: None,
        service: "svc".into(),
        address: SocketAddr::from(([10, 0, 0, n], 8000)),
        domain: domain.into(),
        slots: 10,
        leaving: false,
        created: created.into(),
        warm_up: Duration::ZERO,
    }
}

#[test]
fn the_oldest_instances_of_each_domain_are_appointed() {
    let now = Instant::now();
    let cfg = FleetConfig {
        domain: "a".into(),
        ..Default::default()
    };
    let mut fleet = Fleet::new(cfg);
    for (n, domain, created) in [
        (1, "a", 9),
        (2, "a", 4),
        (3, "a", 5),
        (4, "b", 1),
        (5, "b", 2),
        (6, "b", 3),
    ] {
        fleet.put(instance(n, domain, created), now);
    }
    let large = ReadersConfig {
        direct_ratio: 0,
        ..Default::default()
    };
    let of_other = fleet.readers_view(ip(1), &large);
    assert!(!of_other.appointed);
    assert_eq!(of_other.instances, 6);
    let expected = [ip(2), ip(3), ip(4), ip(5)];
    assert_eq!(of_other.candidates, expected, "the own domain first");
    let of_appointed = fleet.readers_view(ip(3), &large);
    assert!(of_appointed.appointed);
    assert!(!of_appointed.candidates.contains(&ip(3)), "not itself");
    let leaving = Instance {
        leaving: true,
        ..instance(2, "a", 4)
    };
    fleet.put(leaving, now);
    assert!(fleet.readers_view(ip(1), &large).appointed, "next in age");
}

/// A starting fleet whose nodes went on reading beside sources that had never been lost.
#[test]
fn a_starting_node_stops_reading_as_soon_as_it_is_covered() {
    // Nobody else can be followed.
    let all = view(&[1, 2]);
    let mut bench = Bench::new();
    assert!(bench.plan(&all, 0).read, "nothing was heard yet");
    bench.readers.source_reported(ip(1), true);
    assert!(bench.plan(&all, 0).read, "one source is not enough");
    bench.readers.source_reported(ip(2), true);
    assert!(!bench.plan(&all, 0).read);
    // After a loss it waits, so that a source that comes and goes does not make it come and go.
    bench.readers.source_reported(ip(2), false);
    assert!(bench.plan(&all, 0).read);
    bench.readers.source_reported(ip(2), true);
    assert!(bench.plan(&all, 0).read, "not yet settled");
    bench.pass(1500);
    assert!(!bench.plan(&all, 0).read);
}

/// How much a fleet asks the store must not jump with one more instance: the number of readers follows from its domains, and
/// every node reads only while there are few instances for each reader.
#[test]
fn every_node_reads_only_in_a_small_fleet() {
    struct Case {
        name: &'static str,
        domains: u8,
        of_each: u8,
        direct: bool,
    }
    let cases = [
        Case {
            name: "three domains of six",
            domains: 3,
            of_each: 6,
            direct: true,
        },
        Case {
            name: "three domains of seven",
            domains: 3,
            of_each: 7,
            direct: false,
        },
        Case {
            name: "five domains of six",
            domains: 5,
            of_each: 6,
            direct: true,
        },
        Case {
            name: "one domain of seven",
            domains: 1,
            of_each: 7,
            direct: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = Fleet::new(FleetConfig::default());
        for n in 0..case.domains * case.of_each {
            let domain = format!("d{}", n % case.domains);
            fleet.put(instance(n + 1, &domain, u64::from(n)), now);
        }
        let cfg = ReadersConfig::default();
        // The youngest is not among the two oldest of its domain.
        let own = ip(case.domains * case.of_each);
        let view = fleet.readers_view(own, &cfg);
        let mut readers = ReadPlanner::new(cfg);
        let plan = readers.plan(&view, 0, now);
        assert_eq!(plan.follow.is_empty(), case.direct, "{}", case.name);
    }
}

/// A source that does not hear the store was kept, and its followers read beside it.
#[test]
fn a_source_that_does_not_hear_the_store_is_left_for_one_that_may() {
    let all = view(&[1, 2, 3]);
    let mut bench = Bench::new();
    bench.settle(&all);
    bench.readers.source_reported(ip(1), false);
    let plan = bench.plan(&all, 0);
    assert_eq!(plan.follow, [ip(2), ip(3)]);
    bench.readers.source_reported(ip(3), true);
    bench.plan(&all, 0);
    bench.pass(1500);
    assert!(!bench.plan(&all, 0).read, "covered again");
    assert!(bench.readers.has_report());
    // With nobody else to try it is kept: it will tell when it hears the store again.
    let few = view(&[2, 3]);
    bench.pass(3500);
    bench.readers.source_reported(ip(3), false);
    assert_eq!(bench.plan(&few, 0).follow, [ip(2), ip(3)]);
}
