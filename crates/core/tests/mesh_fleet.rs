//! Tests of the instance states that a mesh node tracks, and of its load balancing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use coltsfootport_core::mesh::{
    Era, Fleet, FleetConfig, Instance, InstanceKey, MemberState, Position, PutEffect, RemoveEffect,
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
        written: 1.into(),
        warm_up: Duration::ZERO,
    }
}

struct Harness {
    fleet: Fleet,
    rng: SmallRng,
    now: Instant,
}

impl Harness {
    fn new(ids: &[&str]) -> Self {
        let cfg = FleetConfig {
            domain: "a".into(),
            ..Default::default()
        };
        let mut harness = Self {
            fleet: Fleet::new(cfg),
            rng: SmallRng::seed_from_u64(7),
            now: Instant::now(),
        };
        for id in ids {
            harness.fleet.put(instance(id), harness.now);
        }
        harness
    }

    fn select(&mut self, tried: &[InstanceKey]) -> Option<SelectedInstance> {
        self.fleet
            .select(&"svc".into(), tried, self.now, &mut self.rng)
    }

    /// Sends a hundred requests, each of which ends immediately with `outcome`, and returns how many of them went to an
    /// instance.
    fn share(&mut self, id: &str, outcome: fn(&SelectedInstance) -> SendOutcome) -> usize {
        let mut count = 0;
        for _ in 0..100 {
            let Some(selected) = self.select(&[]) else {
                continue;
            };
            self.fleet.request_sent(selected.key, self.now);
            self.fleet
                .request_ended(selected.key, outcome(&selected), Some(1), self.now);
            self.now += ms(50);
            count += usize::from(selected.id == id);
        }
        count
    }
}

const SUCCESS: SendOutcome = SendOutcome::Answered {
    relative_latency: 1.0,
};

/// A stopping host rejects requests immediately, so it looked idle and attracted most requests of its service.
#[test]
fn a_stopping_host_draws_no_requests() {
    let mut harness = Harness::new(&["i-a", "i-b", "i-c"]);
    let count = harness.share("i-a", |selected| match selected.id.as_str() {
        "i-a" => SendOutcome::HostStopping,
        _ => SUCCESS,
    });
    assert!(
        count <= 5,
        "{count} of 100 requests went to the stopping host"
    );
}

/// An address that was reused by another service rejects requests immediately, so it attracted requests for a second.
#[test]
fn an_instance_that_is_gone_draws_no_requests() {
    let mut harness = Harness::new(&["i-a", "i-b", "i-c"]);
    let count = harness.share("i-a", |selected| match selected.id.as_str() {
        "i-a" => SendOutcome::TargetGone,
        _ => SUCCESS,
    });
    assert!(
        count <= 5,
        "{count} of 100 requests went to the instance that has ended"
    );
}

#[test]
fn avoided_instances_serve_where_no_other_is_left() {
    let mut harness = Harness::new(&["i-a", "i-b"]);
    for _ in 0..2 {
        let selected = harness.select(&[]).expect("an instance");
        harness.fleet.request_sent(selected.key, harness.now);
        harness
            .fleet
            .request_ended(selected.key, SendOutcome::HostStopping, None, harness.now);
    }
    assert!(harness.select(&[]).is_some());
}

#[test]
fn tried_and_leaving_instances_are_not_selected() {
    let mut harness = Harness::new(&["i-a", "i-b"]);
    let first = harness.select(&[]).expect("an instance");
    let second = harness.select(&[first.key]).expect("the other instance");
    assert_ne!(first.id, second.id);
    assert!(harness.select(&[first.key, second.key]).is_none());
    let leaving = Instance {
        leaving: true,
        ..instance(&second.id)
    };
    harness.fleet.put(leaving, harness.now);
    assert!(harness.select(&[first.key]).is_none());
}

#[test]
fn failing_instances_are_avoided_and_retried() {
    let mut harness = Harness::new(&["i-a", "i-b", "i-c"]);
    let failing = |selected: &SelectedInstance| match selected.id.as_str() {
        "i-a" => SendOutcome::Failed,
        _ => SUCCESS,
    };
    harness.share("i-a", failing);
    let count = harness.share("i-a", failing);
    assert!(
        count <= 5,
        "{count} of 100 requests went to the failing instance"
    );
    harness.now += ms(5000);
    harness.share("i-a", |_| SUCCESS);
    let count = harness.share("i-a", |_| SUCCESS);
    assert!(
        count > 5,
        "{count} of 100 requests went to the recovered instance"
    );
}

#[test]
fn the_own_failure_domain_is_preferred_until_it_is_full() {
    let mut harness = Harness::new(&["i-a"]);
    let far = Instance {
        domain: "b".into(),
        ..instance("i-b")
    };
    harness.fleet.put(far, harness.now);
    assert_eq!(harness.share("i-a", |_| SUCCESS), 100);
    for _ in 0..9 {
        let near = harness.select(&[]).expect("an instance");
        harness.fleet.request_sent(near.key, harness.now);
    }
    let next = harness.select(&[]).expect("an instance");
    assert_eq!(
        next.id, "i-b",
        "the instance in the own domain has no free slot"
    );
}

/// A sequence of events, and whether the instance may be used after it.
struct OutageCase {
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
    /// The given number of milliseconds passes.
    Pass(u64),
    /// A complete list without the instance is applied.
    ListedWithout,
}

/// Leases expire during an outage of the publisher: live instances were removed when it recovered.
#[test]
fn entries_that_lapse_during_an_outage_are_held() {
    use Event::{Back, Gone, Leaving, ListedWithout, Lost, Pass, Relisted};
    let cases = [
        OutageCase {
            name: "removed without an outage",
            events: &[Gone],
            usable: false,
        },
        OutageCase {
            name: "lapsed during an outage",
            events: &[Lost, Pass(3000), Back, Gone],
            usable: true,
        },
        OutageCase {
            name: "lapsed and not written again",
            events: &[Lost, Back, Gone, Pass(2300)],
            usable: false,
        },
        OutageCase {
            name: "lapsed before the recovery",
            events: &[Lost, Gone, Pass(9000), Back, Pass(2000)],
            usable: true,
        },
        OutageCase {
            name: "missing from the list",
            events: &[Lost, Back, ListedWithout, Pass(1000)],
            usable: true,
        },
        OutageCase {
            name: "missing from the list permanently",
            events: &[Lost, Back, ListedWithout, Pass(2300)],
            usable: false,
        },
        OutageCase {
            name: "written again in time",
            events: &[Lost, Back, Gone, Pass(1000), Relisted, Pass(5000)],
            usable: true,
        },
        OutageCase {
            name: "leaving before the outage",
            events: &[Leaving, Lost, Back, Gone],
            usable: false,
        },
        OutageCase {
            name: "long after an outage",
            events: &[Lost, Back, Pass(3000), Gone],
            usable: false,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(&["i-a"]);
        for event in case.events {
            match event {
                Lost => harness.fleet.publisher_failed(),
                Back => harness.fleet.publisher_recovered(harness.now),
                Gone => {
                    harness.fleet.entry_removed("i-a", harness.now);
                }
                Relisted => {
                    harness.fleet.put(instance("i-a"), harness.now);
                }
                ListedWithout => drop(harness.fleet.replace_all(Vec::new(), harness.now)),
                Leaving => {
                    let leaving = Instance {
                        leaving: true,
                        ..instance("i-a")
                    };
                    harness.fleet.put(leaving, harness.now);
                }
                Pass(passed) => {
                    harness.now += ms(*passed);
                    harness.fleet.tick(harness.now);
                }
            }
        }
        assert_eq!(harness.select(&[]).is_some(), case.usable, "{}", case.name);
        let member_state = harness.fleet.member_state("i-a");
        assert_eq!(
            member_state.is_some_and(MemberState::accepts_requests),
            case.usable,
            "{}",
            case.name
        );
    }
}

/// Targets restart with new ids while their old entries are still published: requests were sent to the old ids.
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
        let mut harness = Harness::new(&["i-a"]);
        harness.fleet.put(successor(service), harness.now);
        let own = harness.fleet.at_address(address).expect("an instance");
        assert_eq!(own.id, "i-z");
        // The old entry may be written or listed again after that of its successor.
        harness.fleet.put(instance("i-a"), harness.now);
        assert!(harness.fleet.member_state("i-a").is_none());
        let listed = vec![successor(service), instance("i-a")];
        harness.fleet.replace_all(listed, harness.now);
        assert_eq!(harness.fleet.len(), 1);
        let selected = harness.select(&[]).map(|selected| selected.id);
        let expected = (service == "svc").then(|| "i-z".into());
        assert_eq!(selected, expected);
    }
}

/// An instance whose address was reused: its end was never recorded, and late requests were sent to its successor.
#[test]
fn the_end_of_a_superseded_instance_is_reported_once() {
    let mut harness = Harness::new(&["i-a", "i-b"]);
    let successor = Instance {
        id: "i-z".into(),
        created: 5.into(),
        ..instance("i-a")
    };
    let effect = harness.fleet.put(successor.clone(), harness.now);
    assert_eq!(effect, PutEffect::Superseded("i-a".into()));
    assert_eq!(
        harness.fleet.put(successor.clone(), harness.now),
        PutEffect::Unchanged
    );
    assert_eq!(
        harness.fleet.entry_removed("i-a", harness.now),
        RemoveEffect::Unknown
    );
    let ended = harness.fleet.replace_all(vec![successor], harness.now);
    assert_eq!(ended, ["i-b"]);
    assert_eq!(
        harness.fleet.entry_removed("i-z", harness.now),
        RemoveEffect::Removed
    );
    assert!(harness.fleet.at_address(instance("i-a").address).is_none());
}

#[test]
fn replace_all_returns_superseded_instances() {
    let mut harness = Harness::new(&["i-a"]);
    let successor = Instance {
        id: "i-z".into(),
        created: 5.into(),
        ..instance("i-a")
    };
    let ended = harness.fleet.replace_all(vec![successor], harness.now);
    assert_eq!(ended, ["i-a"]);
}

/// Machines that are partitioned only from the publisher: their targets were treated as ended, and the remaining
/// instances received all the load.
#[test]
fn an_instance_whose_host_is_partitioned_is_used_without_its_entry() {
    enum Event {
        /// Its host reports that it can't reach the publisher.
        Partitioned,
        Gone,
        Listed,
        ListedWithout,
        Leaving,
        Successor,
        Pass(u64),
    }
    use Event::{Gone, Leaving, Listed, ListedWithout, Partitioned, Pass, Successor};
    struct Case {
        name: &'static str,
        events: &'static [Event],
        usable: bool,
    }
    let cases = [
        Case {
            name: "reported before the entry lapses",
            events: &[Partitioned, Pass(500), Gone],
            usable: true,
        },
        Case {
            name: "reported after the entry lapsed",
            events: &[Gone, Pass(2000), Partitioned],
            usable: true,
        },
        Case {
            name: "reported, then missing from the list",
            events: &[Partitioned, Gone, Pass(100), ListedWithout],
            usable: true,
        },
        Case {
            name: "reported repeatedly",
            events: &[
                Partitioned,
                Gone,
                Pass(2000),
                Partitioned,
                Pass(2000),
                Partitioned,
                Pass(2000),
            ],
            usable: true,
        },
        Case {
            name: "listed again",
            events: &[Partitioned, Gone, Pass(1000), Listed, Pass(10_000)],
            usable: true,
        },
        Case {
            name: "not listed again",
            events: &[Partitioned, Gone, Pass(2500)],
            usable: false,
        },
        Case {
            name: "never reported",
            events: &[Gone],
            usable: false,
        },
        Case {
            name: "reported long before",
            events: &[Partitioned, Pass(4000), Gone],
            usable: false,
        },
        Case {
            name: "reported long after",
            events: &[Gone, Pass(11_000), Partitioned],
            usable: false,
        },
        Case {
            name: "leaving before the entry was removed",
            events: &[Partitioned, Leaving, Gone, Partitioned],
            usable: false,
        },
        Case {
            name: "address reused by a successor",
            events: &[Gone, Successor, Partitioned],
            usable: false,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(&["i-a"]);
        for event in case.events {
            match event {
                Partitioned => drop(harness.fleet.mark_partitioned_by_id("i-a", harness.now)),
                Gone => drop(harness.fleet.entry_removed("i-a", harness.now)),
                Listed => drop(harness.fleet.put(instance("i-a"), harness.now)),
                ListedWithout => drop(harness.fleet.replace_all(Vec::new(), harness.now)),
                Leaving => {
                    let leaving = Instance {
                        leaving: true,
                        ..instance("i-a")
                    };
                    harness.fleet.put(leaving, harness.now);
                }
                Successor => {
                    let successor = Instance {
                        id: "i-z".into(),
                        created: 5.into(),
                        ..instance("i-a")
                    };
                    harness.fleet.put(successor, harness.now);
                }
                Pass(passed) => {
                    harness.now += ms(*passed);
                    harness.fleet.tick(harness.now);
                }
            }
        }
        let member_state = harness.fleet.member_state("i-a");
        let usable = member_state.is_some_and(MemberState::accepts_requests);
        assert_eq!(usable, case.usable, "{}", case.name);
    }
}

/// A target restarts with the same id: load and failures of the previous process counted against it.
#[test]
fn a_restart_under_the_same_id_is_a_new_instance() {
    let started_at = |at: u64| Instance {
        started_at_ms: Some(at),
        written: at.into(),
        ..instance("i-a")
    };
    let mut harness = Harness::new(&["i-b"]);
    harness.fleet.put(started_at(1000), harness.now);
    let before = harness.select(&[]).expect("an instance");
    harness.share("i-a", |selected| match selected.id.as_str() {
        "i-a" => SendOutcome::Failed,
        _ => SUCCESS,
    });
    let leaving = Instance {
        leaving: true,
        ..started_at(1000)
    };
    harness.fleet.put(leaving, harness.now);
    assert_eq!(
        harness.fleet.put(started_at(2000), harness.now),
        PutEffect::Restarted
    );
    assert_eq!(harness.fleet.member_state("i-a"), Some(MemberState::Ready));
    assert_eq!(
        harness.fleet.put(started_at(2000), harness.now),
        PutEffect::Unchanged
    );
    // A stale read of the earlier start has no effect.
    let stale = Instance {
        leaving: true,
        ..started_at(1000)
    };
    assert_eq!(harness.fleet.put(stale, harness.now), PutEffect::Unchanged);
    assert_eq!(harness.fleet.member_state("i-a"), Some(MemberState::Ready));
    let count = harness.share("i-a", |_| SUCCESS);
    assert!(count > 25, "{count} of 100 requests went to the new start");
    let after = harness.select(&[]).expect("an instance");
    assert!(after.id != before.id || after.key != before.key || after.id == "i-b");
}

/// An entry of a target that restarts under its id: its start time, and the revision at which it was written.
#[derive(Clone, Copy)]
struct Written {
    started_at_ms: u64,
    revision: u64,
    leaving: bool,
}

fn ready(started_at_ms: u64, revision: u64) -> Written {
    Written {
        started_at_ms,
        revision,
        leaving: false,
    }
}

fn leaving(started_at_ms: u64, revision: u64) -> Written {
    Written {
        leaving: true,
        ..ready(started_at_ms, revision)
    }
}

struct RestartCase {
    name: &'static str,
    /// Entries in the order in which they are read.
    read: Vec<Written>,
    /// Start time of the known process in the end, and whether it is leaving.
    expected: (u64, bool),
}

/// The time of day was set back between two starts under one id: the later start was taken for a stale read, and the
/// target got requests long after it had announced that it leaves.
#[test]
fn the_entry_written_last_tells_which_start_is_newer() {
    let cases = [
        RestartCase {
            name: "later start time",
            read: vec![ready(1000, 2), ready(2000, 3)],
            expected: (2000, false),
        },
        RestartCase {
            name: "clock set back before the restart",
            read: vec![ready(3000, 2), ready(2000, 3)],
            expected: (2000, false),
        },
        RestartCase {
            name: "clock set back, the new process leaves",
            read: vec![ready(3000, 2), ready(2000, 3), leaving(2000, 4)],
            expected: (2000, true),
        },
        RestartCase {
            name: "the entry of the new process is read while it leaves already",
            read: vec![ready(3000, 2), leaving(2000, 4)],
            expected: (2000, true),
        },
        RestartCase {
            name: "stale read of a process with a later start time",
            read: vec![ready(3000, 2), ready(2000, 3), ready(3000, 2)],
            expected: (2000, false),
        },
        RestartCase {
            name: "stale read of a process with an earlier start time",
            read: vec![ready(1000, 2), ready(2000, 3), leaving(1000, 2)],
            expected: (2000, false),
        },
        RestartCase {
            name: "stale read of the same process",
            read: vec![ready(1000, 2), leaving(1000, 5), ready(1000, 3)],
            expected: (1000, true),
        },
        RestartCase {
            name: "late write of the process before",
            read: vec![ready(1000, 2), ready(2000, 3), leaving(1000, 4)],
            expected: (2000, false),
        },
        RestartCase {
            name: "late write of the process before, after the clock was set back",
            read: vec![ready(3000, 2), ready(2000, 3), leaving(3000, 4)],
            expected: (2000, false),
        },
        RestartCase {
            name: "late write, then one of the running process",
            read: vec![
                ready(3000, 2),
                ready(2000, 3),
                ready(3000, 4),
                leaving(2000, 5),
            ],
            expected: (2000, true),
        },
        RestartCase {
            name: "clock set back and forward",
            read: vec![
                ready(3000, 2),
                ready(2000, 3),
                ready(3500, 6),
                ready(2000, 3),
            ],
            expected: (3500, false),
        },
    ];
    for case in cases {
        let mut harness = Harness::new(&[]);
        for written in case.read {
            let entry = Instance {
                started_at_ms: Some(written.started_at_ms),
                written: written.revision.into(),
                leaving: written.leaving,
                ..instance("i-a")
            };
            harness.fleet.put(entry, harness.now);
        }
        let known = harness.fleet.iter().next();
        let (known, member_state) = known.expect("the instance");
        assert_eq!(known.started_at_ms, Some(case.expected.0), "{}", case.name);
        let is_leaving = member_state == MemberState::Draining;
        assert_eq!(is_leaving, case.expected.1, "{}", case.name);
    }
}

/// The copy of a restored publisher holds the entry of an earlier start: it replaced that of the running process.
#[test]
fn an_earlier_start_in_a_restored_copy_waits_for_the_running_process() {
    let started_at = |started_at_ms: u64, written: Position| Instance {
        started_at_ms: Some(started_at_ms),
        written,
        ..instance("i-a")
    };
    let mut harness = Harness::new(&[]);
    harness.fleet.put(started_at(2000, 80.into()), harness.now);
    let copied = Position::new(Era(1), 50);
    harness
        .fleet
        .restore(vec![started_at(1000, copied)], harness.now);
    let known = |fleet: &Fleet| {
        fleet
            .iter()
            .next()
            .and_then(|(known, _)| known.started_at_ms)
    };
    assert_eq!(known(&harness.fleet), Some(2000));
    // The running process writes its entry again.
    let rewritten = started_at(2000, Position::new(Era(1), 60));
    harness.fleet.put(rewritten, harness.now);
    harness.now += ms(60_000);
    harness.fleet.tick(harness.now);
    assert_eq!(known(&harness.fleet), Some(2000));
}

#[test]
fn an_invalid_entry_removes_its_instance() {
    let mut harness = Harness::new(&["i-a", "i-b"]);
    assert!(harness.fleet.remove_invalid("i-a"));
    assert!(!harness.fleet.remove_invalid("i-a"));
    assert!(harness.fleet.member_state("i-a").is_none());
    assert_eq!(
        harness.select(&[]).map(|selected| selected.id),
        Some("i-b".into())
    );
    harness.fleet.put(instance("i-a"), harness.now);
    assert_eq!(harness.fleet.member_state("i-a"), Some(MemberState::Ready));
}

/// What an instance announces in a response outweighs its entry, until another process has its id.
#[test]
fn an_announced_leaving_outlasts_the_entry() {
    let now = Instant::now();
    let started = |started_at_ms| Instance {
        started_at_ms,
        ..instance("a")
    };
    let mut fleet = Fleet::new(FleetConfig::default());
    fleet.put(started(Some(1)), now);
    let key = fleet.key_of("a").expect("known");
    assert_eq!(fleet.mark_leaving(key).as_deref(), Some("a"));
    assert_eq!(fleet.mark_leaving(key), None, "known already");
    // Its entry is written, listed, and removed and written again.
    fleet.put(started(Some(1)), now);
    assert_eq!(fleet.member_state("a"), Some(MemberState::Draining));
    fleet.replace_all(vec![started(Some(1))], now);
    assert_eq!(fleet.member_state("a"), Some(MemberState::Draining));
    assert_eq!(fleet.entry_removed("a", now), RemoveEffect::Removed);
    fleet.put(started(Some(1)), now);
    assert_eq!(fleet.member_state("a"), Some(MemberState::Draining));
    assert!(!fleet.mark_partitioned_by_id("a", now));
    assert_eq!(fleet.member_state("a"), Some(MemberState::Draining));
    // A new process.
    fleet.put(started(Some(2)), now);
    assert_eq!(fleet.member_state("a"), Some(MemberState::Ready));
}
