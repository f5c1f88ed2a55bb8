//! Tests of which nodes poll the publisher and which follow other nodes.

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

struct Harness {
    readers: ReadPlanner,
    now: Instant,
}

impl Harness {
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

    /// Reports both sources of a view as healthy for longer than the settle time.
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
fn which_nodes_poll() {
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
        let mut harness = Harness::new();
        harness.settle(&case.view);
        let plan = harness.plan(&case.view, case.followers);
        assert_eq!(plan.read, case.read, "{}", case.name);
        assert_eq!(plan.follow.len(), case.follow, "{}", case.name);
    }
}

/// With a single source that fails or loses the publisher just before a change, its follower missed the change.
#[test]
fn a_node_polls_while_a_source_is_missing() {
    let all = view(&[1, 2, 3]);
    let mut harness = Harness::new();
    assert!(harness.plan(&all, 0).read, "no source has reported yet");
    harness.settle(&all);
    assert!(!harness.plan(&all, 0).read);
    harness.readers.source_lost(ip(1), harness.now);
    let plan = harness.plan(&all, 0);
    assert!(plan.read, "one source is left");
    assert_eq!(
        plan.follow,
        [ip(2), ip(3)],
        "the next candidate replaces it"
    );
    harness.readers.source_reported(ip(3), true);
    harness.plan(&all, 0);
    harness.pass(1500);
    assert!(!harness.plan(&all, 0).read);
    harness.readers.source_reported(ip(2), false);
    assert!(
        harness.plan(&all, 0).read,
        "a source can't reach the publisher"
    );
    assert!(harness.readers.any_healthy());
}

#[test]
fn a_lost_source_is_tried_again_later() {
    let all = view(&[1, 2]);
    let mut harness = Harness::new();
    harness.settle(&all);
    harness.readers.source_lost(ip(1), harness.now);
    assert_eq!(harness.plan(&all, 0).follow, [ip(2)]);
    harness.pass(3500);
    assert_eq!(harness.plan(&all, 0).follow, [ip(1), ip(2)]);
}

/// A source is no longer appointed but still polls: all its followers dropped it and polled themselves.
#[test]
fn a_sound_source_is_kept_when_others_are_appointed() {
    let mut harness = Harness::new();
    harness.settle(&view(&[1, 2]));
    let later = view(&[2, 3]);
    let plan = harness.plan(&later, 0);
    assert_eq!(plan.follow, [ip(1), ip(2)]);
    assert!(!plan.read);
    harness.readers.source_lost(ip(1), harness.now);
    assert_eq!(harness.plan(&later, 0).follow, [ip(2), ip(3)]);
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
        written: created.into(),
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
    assert_eq!(of_other.candidates, expected, "the own domain comes first");
    let of_appointed = fleet.readers_view(ip(3), &large);
    assert!(of_appointed.appointed);
    assert!(
        !of_appointed.candidates.contains(&ip(3)),
        "a node is not its own candidate"
    );
    let leaving = Instance {
        leaving: true,
        ..instance(2, "a", 4)
    };
    fleet.put(leaving, now);
    assert!(
        fleet.readers_view(ip(1), &large).appointed,
        "the next oldest is appointed"
    );
}

/// In a starting fleet, nodes kept polling although they had sources that had never been lost.
#[test]
fn a_starting_node_stops_polling_once_covered() {
    // There are no other candidates.
    let all = view(&[1, 2]);
    let mut harness = Harness::new();
    assert!(harness.plan(&all, 0).read, "no source has reported yet");
    harness.readers.source_reported(ip(1), true);
    assert!(harness.plan(&all, 0).read, "one source is not enough");
    harness.readers.source_reported(ip(2), true);
    assert!(!harness.plan(&all, 0).read);
    // After a loss it waits for the settle time, so that a flapping source does not make it start and stop polling.
    harness.readers.source_reported(ip(2), false);
    assert!(harness.plan(&all, 0).read);
    harness.readers.source_reported(ip(2), true);
    assert!(harness.plan(&all, 0).read, "the settle time has not passed");
    harness.pass(1500);
    assert!(!harness.plan(&all, 0).read);
}

/// One more instance must not cause a jump in the number of reads: the number of appointed nodes depends on the
/// number of domains, and all nodes poll only while there are few instances per appointed node.
#[test]
fn every_node_polls_only_in_a_small_fleet() {
    struct Case {
        name: &'static str,
        domains: u8,
        instances_each: u8,
        direct: bool,
    }
    let cases = [
        Case {
            name: "three domains of six",
            domains: 3,
            instances_each: 6,
            direct: true,
        },
        Case {
            name: "three domains of seven",
            domains: 3,
            instances_each: 7,
            direct: false,
        },
        Case {
            name: "five domains of six",
            domains: 5,
            instances_each: 6,
            direct: true,
        },
        Case {
            name: "one domain of seven",
            domains: 1,
            instances_each: 7,
            direct: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = Fleet::new(FleetConfig::default());
        for n in 0..case.domains * case.instances_each {
            let domain = format!("d{}", n % case.domains);
            fleet.put(instance(n + 1, &domain, u64::from(n)), now);
        }
        let cfg = ReadersConfig::default();
        // The newest instance is not among the two oldest of its domain.
        let own = ip(case.domains * case.instances_each);
        let view = fleet.readers_view(own, &cfg);
        let mut readers = ReadPlanner::new(cfg);
        let plan = readers.plan(&view, 0, now);
        assert_eq!(plan.follow.is_empty(), case.direct, "{}", case.name);
    }
}

/// A source that could not reach the publisher was kept, and its followers polled as well.
#[test]
fn an_unhealthy_source_is_replaced_by_another_candidate() {
    let all = view(&[1, 2, 3]);
    let mut harness = Harness::new();
    harness.settle(&all);
    harness.readers.source_reported(ip(1), false);
    let plan = harness.plan(&all, 0);
    assert_eq!(plan.follow, [ip(2), ip(3)]);
    harness.readers.source_reported(ip(3), true);
    harness.plan(&all, 0);
    harness.pass(1500);
    assert!(!harness.plan(&all, 0).read, "covered again");
    assert!(harness.readers.has_report());
    // Without other candidates it is kept: it will report when it reaches the publisher again.
    let few = view(&[2, 3]);
    harness.pass(3500);
    harness.readers.source_reported(ip(3), false);
    assert_eq!(harness.plan(&few, 0).follow, [ip(2), ip(3)]);
}
