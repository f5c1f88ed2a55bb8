//! Tests of what a mesh node believes about instances, and of its choice among them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use coltsfootport_core::mesh::{
    Fleet, FleetConfig, Instance, InstanceKey, MemberState, PutEffect, RemoveEffect,
    SelectedInstance, SendOutcome,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn instance(id: &str) -> Instance {
    let host = id.bytes().map(u32::from).sum::<u32>() % 250;
    Instance {
        id: id.into(),
        started_at_ms: None,
        service: "svc".into(),
        address: SocketAddr::from(([10, 0, 0, host as u8], 8000)),
        domain: "a".into(),
        slots: 10,
        leaving: false,
        created: 1.into(),
        warm_up: Duration::ZERO,
    }
}

struct Bench {
    fleet: Fleet,
    rng: SmallRng,
    now: Instant,
}

impl Bench {
    fn new(ids: &[&str]) -> Self {
        let cfg = FleetConfig {
            domain: "a".into(),
            ..Default::default()
        };
        let mut bench = Self {
            fleet: Fleet::new(cfg),
            rng: SmallRng::seed_from_u64(7),
            now: Instant::now(),
        };
        for id in ids {
            bench.fleet.put(instance(id), bench.now);
        }
        bench
    }

    fn choose(&mut self, tried: &[InstanceKey]) -> Option<SelectedInstance> {
        self.fleet
            .select(&"svc".into(), tried, self.now, &mut self.rng)
    }

    /// How many of a hundred requests go to an instance, each ended at once with `outcome`.
    fn share(&mut self, id: &str, outcome: fn(&SelectedInstance) -> SendOutcome) -> usize {
        let mut count = 0;
        for _ in 0..100 {
            let Some(chosen) = self.choose(&[]) else {
                continue;
            };
            self.fleet.request_sent(chosen.key, self.now);
            self.fleet
                .request_ended(chosen.key, outcome(&chosen), Some(1), self.now);
            self.now += ms(50);
            count += usize::from(chosen.id == id);
        }
        count
    }
}

const WELL: SendOutcome = SendOutcome::Answered { relative: 1.0 };

/// A host that stops refuses at once and looks idle: it drew most requests of its service.
#[test]
fn a_stopping_host_draws_no_requests() {
    let mut bench = Bench::new(&["i-a", "i-b", "i-c"]);
    let went = bench.share("i-a", |chosen| match chosen.id.as_str() {
        "i-a" => SendOutcome::HostStopping,
        _ => WELL,
    });
    assert!(went <= 5, "{went} of 100 went to the stopping host");
}

/// An address that belongs to another service answers at once that it is wrong: it drew requests for a second.
#[test]
fn an_instance_that_is_gone_draws_no_requests() {
    let mut bench = Bench::new(&["i-a", "i-b", "i-c"]);
    let went = bench.share("i-a", |chosen| match chosen.id.as_str() {
        "i-a" => SendOutcome::TargetGone,
        _ => WELL,
    });
    assert!(went <= 5, "{went} of 100 went to the instance that is gone");
}

#[test]
fn avoided_instances_serve_where_no_other_is_left() {
    let mut bench = Bench::new(&["i-a", "i-b"]);
    for _ in 0..2 {
        let chosen = bench.choose(&[]).expect("an instance");
        bench.fleet.request_sent(chosen.key, bench.now);
        bench
            .fleet
            .request_ended(chosen.key, SendOutcome::HostStopping, None, bench.now);
    }
    assert!(bench.choose(&[]).is_some());
}

#[test]
fn tried_and_leaving_instances_get_nothing() {
    let mut bench = Bench::new(&["i-a", "i-b"]);
    let first = bench.choose(&[]).expect("an instance");
    let second = bench.choose(&[first.key]).expect("the other one");
    assert_ne!(first.id, second.id);
    assert!(bench.choose(&[first.key, second.key]).is_none());
    let leaving = Instance {
        leaving: true,
        ..instance(&second.id)
    };
    bench.fleet.put(leaving, bench.now);
    assert!(bench.choose(&[first.key]).is_none());
}

#[test]
fn failing_instances_are_left_and_tried_again() {
    let mut bench = Bench::new(&["i-a", "i-b", "i-c"]);
    let failing = |chosen: &SelectedInstance| match chosen.id.as_str() {
        "i-a" => SendOutcome::Failed,
        _ => WELL,
    };
    bench.share("i-a", failing);
    let went = bench.share("i-a", failing);
    assert!(went <= 5, "{went} of 100 went to the failing instance");
    bench.now += ms(5000);
    bench.share("i-a", |_| WELL);
    let went = bench.share("i-a", |_| WELL);
    assert!(
        went > 5,
        "{went} of 100 went to the instance that works again"
    );
}

#[test]
fn the_own_failure_domain_goes_first_until_it_is_full() {
    let mut bench = Bench::new(&["i-a"]);
    let far = Instance {
        domain: "b".into(),
        ..instance("i-b")
    };
    bench.fleet.put(far, bench.now);
    assert_eq!(bench.share("i-a", |_| WELL), 100);
    for _ in 0..9 {
        let near = bench.choose(&[]).expect("an instance");
        bench.fleet.request_sent(near.key, bench.now);
    }
    let next = bench.choose(&[]).expect("an instance");
    assert_eq!(next.id, "i-b", "the near one has no free slot");
}

/// What the publisher and the list do, and whether the instance may still be used.
struct Lapse {
    name: &'static str,
    events: &'static [Event],
    usable: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Lost,
    Back,
    Gone,
    Relisted,
    Leaving,
    /// Milliseconds pass.
    Pass(u64),
    /// A list without the instance.
    ListedWithout,
}

/// Leases that run out during an outage of the publisher: living instances were taken as gone at its return.
#[test]
fn entries_that_lapse_during_an_outage_are_held() {
    use Event::{Back, Gone, Leaving, ListedWithout, Lost, Pass, Relisted};
    let cases = [
        Lapse {
            name: "removed in calm",
            events: &[Gone],
            usable: false,
        },
        Lapse {
            name: "lapsed",
            events: &[Lost, Pass(3000), Back, Gone],
            usable: true,
        },
        Lapse {
            name: "lapsed and not back",
            events: &[Lost, Back, Gone, Pass(2300)],
            usable: false,
        },
        Lapse {
            name: "lapsed before the return",
            events: &[Lost, Gone, Pass(9000), Back, Pass(2000)],
            usable: true,
        },
        Lapse {
            name: "missing in the list",
            events: &[Lost, Back, ListedWithout, Pass(1000)],
            usable: true,
        },
        Lapse {
            name: "missing for good",
            events: &[Lost, Back, ListedWithout, Pass(2300)],
            usable: false,
        },
        Lapse {
            name: "back in time",
            events: &[Lost, Back, Gone, Pass(1000), Relisted, Pass(5000)],
            usable: true,
        },
        Lapse {
            name: "leaving before",
            events: &[Leaving, Lost, Back, Gone],
            usable: false,
        },
        Lapse {
            name: "long after an outage",
            events: &[Lost, Back, Pass(3000), Gone],
            usable: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::new(&["i-a"]);
        for event in case.events {
            match event {
                Lost => bench.fleet.publisher_failed(),
                Back => bench.fleet.publisher_recovered(bench.now),
                Gone => {
                    bench.fleet.entry_removed("i-a", bench.now);
                }
                Relisted => {
                    bench.fleet.put(instance("i-a"), bench.now);
                }
                ListedWithout => drop(bench.fleet.replace_all(Vec::new(), bench.now)),
                Leaving => {
                    let leaving = Instance {
                        leaving: true,
                        ..instance("i-a")
                    };
                    bench.fleet.put(leaving, bench.now);
                }
                Pass(passed) => {
                    bench.now += ms(*passed);
                    bench.fleet.tick(bench.now);
                }
            }
        }
        assert_eq!(bench.choose(&[]).is_some(), case.usable, "{}", case.name);
        let member_state = bench.fleet.member_state("i-a");
        assert_eq!(
            member_state.is_some_and(MemberState::accepts_requests),
            case.usable,
            "{}",
            case.name
        );
    }
}

/// Targets that start again under new ids while their old entries still stand: requests went to the old ids.
#[test]
fn an_address_belongs_to_its_newest_instance() {
    let address = instance("i-a").address;
    let successor = |service: &str| Instance {
        id: "i-z".into(),
        service: service.into(),
        address,
        created: 5.into(),
        ..instance("i-a")
    };
    for service in ["svc", "other"] {
        let mut bench = Bench::new(&["i-a"]);
        bench.fleet.put(successor(service), bench.now);
        let own = bench.fleet.at_address(address).expect("an instance");
        assert_eq!(own.id, "i-z");
        // The old entry may be written or listed once more, after its successor's.
        bench.fleet.put(instance("i-a"), bench.now);
        assert!(bench.fleet.member_state("i-a").is_none());
        let listed = vec![successor(service), instance("i-a")];
        bench.fleet.replace_all(listed, bench.now);
        assert_eq!(bench.fleet.len(), 1);
        let chosen = bench.choose(&[]).map(|chosen| chosen.id);
        let expected = (service == "svc").then(|| "i-z".into());
        assert_eq!(chosen, expected);
    }
}

/// An instance whose address was given to another one: its end was never noted, and late requests went to its successor.
#[test]
fn the_end_of_a_superseded_instance_is_told_once() {
    let mut bench = Bench::new(&["i-a", "i-b"]);
    let successor = Instance {
        id: "i-z".into(),
        created: 5.into(),
        ..instance("i-a")
    };
    let effect = bench.fleet.put(successor.clone(), bench.now);
    assert_eq!(effect, PutEffect::Superseded("i-a".into()));
    assert_eq!(
        bench.fleet.put(successor.clone(), bench.now),
        PutEffect::Unchanged
    );
    assert_eq!(
        bench.fleet.entry_removed("i-a", bench.now),
        RemoveEffect::Unknown
    );
    let ended = bench.fleet.replace_all(vec![successor], bench.now);
    assert_eq!(ended, ["i-b"]);
    assert_eq!(
        bench.fleet.entry_removed("i-z", bench.now),
        RemoveEffect::Removed
    );
    assert!(bench.fleet.at_address(instance("i-a").address).is_none());
}

#[test]
fn a_list_tells_whom_it_supersedes() {
    let mut bench = Bench::new(&["i-a"]);
    let successor = Instance {
        id: "i-z".into(),
        created: 5.into(),
        ..instance("i-a")
    };
    let ended = bench.fleet.replace_all(vec![successor], bench.now);
    assert_eq!(ended, ["i-a"]);
}

/// Machines that are cut off from the publisher only: their targets were taken as ended, and the rest got all the load.
#[test]
fn an_instance_whose_node_is_cut_off_is_used_without_its_entry() {
    enum Event {
        /// Its node says that it is cut off.
        CutOff,
        Gone,
        Listed,
        ListedWithout,
        Leaving,
        Successor,
        Pass(u64),
    }
    use Event::{CutOff, Gone, Leaving, Listed, ListedWithout, Pass, Successor};
    struct Case {
        name: &'static str,
        events: &'static [Event],
        usable: bool,
    }
    let cases = [
        Case {
            name: "told before the entry lapses",
            events: &[CutOff, Pass(500), Gone],
            usable: true,
        },
        Case {
            name: "told after it",
            events: &[Gone, Pass(2000), CutOff],
            usable: true,
        },
        Case {
            name: "told and listed without it",
            events: &[CutOff, Gone, Pass(100), ListedWithout],
            usable: true,
        },
        Case {
            name: "told again and again",
            events: &[
                CutOff,
                Gone,
                Pass(2000),
                CutOff,
                Pass(2000),
                CutOff,
                Pass(2000),
            ],
            usable: true,
        },
        Case {
            name: "back in the list",
            events: &[CutOff, Gone, Pass(1000), Listed, Pass(10_000)],
            usable: true,
        },
        Case {
            name: "not back in the list",
            events: &[CutOff, Gone, Pass(2500)],
            usable: false,
        },
        Case {
            name: "never told",
            events: &[Gone],
            usable: false,
        },
        Case {
            name: "told long before",
            events: &[CutOff, Pass(4000), Gone],
            usable: false,
        },
        Case {
            name: "told long after",
            events: &[Gone, Pass(11_000), CutOff],
            usable: false,
        },
        Case {
            name: "it had said that it leaves",
            events: &[CutOff, Leaving, Gone, CutOff],
            usable: false,
        },
        Case {
            name: "another one has its address",
            events: &[Gone, Successor, CutOff],
            usable: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::new(&["i-a"]);
        for event in case.events {
            match event {
                CutOff => drop(bench.fleet.mark_partitioned_by_id("i-a", bench.now)),
                Gone => drop(bench.fleet.entry_removed("i-a", bench.now)),
                Listed => drop(bench.fleet.put(instance("i-a"), bench.now)),
                ListedWithout => drop(bench.fleet.replace_all(Vec::new(), bench.now)),
                Leaving => {
                    let leaving = Instance {
                        leaving: true,
                        ..instance("i-a")
                    };
                    bench.fleet.put(leaving, bench.now);
                }
                Successor => {
                    let successor = Instance {
                        id: "i-z".into(),
                        created: 5.into(),
                        ..instance("i-a")
                    };
                    bench.fleet.put(successor, bench.now);
                }
                Pass(passed) => {
                    bench.now += ms(*passed);
                    bench.fleet.tick(bench.now);
                }
            }
        }
        let member_state = bench.fleet.member_state("i-a");
        let usable = member_state.is_some_and(MemberState::accepts_requests);
        assert_eq!(usable, case.usable, "{}", case.name);
    }
}

/// A target that starts again under its id: load and failures of its earlier start counted against it.
#[test]
fn a_new_start_under_an_old_id_is_a_new_instance() {
    let born = |at: u64| Instance {
        started_at_ms: Some(at),
        ..instance("i-a")
    };
    let mut bench = Bench::new(&["i-b"]);
    bench.fleet.put(born(1000), bench.now);
    let before = bench.choose(&[]).expect("an instance");
    bench.share("i-a", |chosen| match chosen.id.as_str() {
        "i-a" => SendOutcome::Failed,
        _ => WELL,
    });
    let leaving = Instance {
        leaving: true,
        ..born(1000)
    };
    bench.fleet.put(leaving, bench.now);
    assert_eq!(bench.fleet.put(born(2000), bench.now), PutEffect::Restarted);
    assert_eq!(bench.fleet.member_state("i-a"), Some(MemberState::Ready));
    assert_eq!(bench.fleet.put(born(2000), bench.now), PutEffect::Unchanged);
    // A stale read of the earlier start changes nothing.
    let stale = Instance {
        leaving: true,
        ..born(1000)
    };
    assert_eq!(bench.fleet.put(stale, bench.now), PutEffect::Unchanged);
    assert_eq!(bench.fleet.member_state("i-a"), Some(MemberState::Ready));
    let went = bench.share("i-a", |_| WELL);
    assert!(went > 25, "{went} of 100 went to the new start");
    let after = bench.choose(&[]).expect("an instance");
    assert!(after.id != before.id || after.key != before.key || after.id == "i-b");
}

#[test]
fn an_entry_that_turns_bad_names_nobody() {
    let mut bench = Bench::new(&["i-a", "i-b"]);
    assert!(bench.fleet.remove_invalid("i-a"));
    assert!(!bench.fleet.remove_invalid("i-a"));
    assert!(bench.fleet.member_state("i-a").is_none());
    assert_eq!(
        bench.choose(&[]).map(|chosen| chosen.id),
        Some("i-b".into())
    );
    bench.fleet.put(instance("i-a"), bench.now);
    assert_eq!(bench.fleet.member_state("i-a"), Some(MemberState::Ready));
}
