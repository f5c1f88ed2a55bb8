//! Tests of fleet membership: reconciliation of the lagging platform list with the nodes' state reports.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::Revision;
use coltsfootport_core::id::{Incarnation, ServiceName};
use coltsfootport_core::membership::{
    InstanceEntry, ListOutcome, ListedState, MembershipConfig, NodeState, StateReportOutcome, View,
};
use coltsfootport_core::once::Tick;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use fleet::{entry, list, node};

const NODES: usize = 40;

/// Kinds of lists that a faulty platform returns.
const WHOLE: u8 = 0;
const TRUNCATED: u8 = 1;
const EMPTY: u8 = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Revision, nodes missing from the list, nodes listed as leaving.
    List(u64, &'static [usize], &'static [usize]),
    /// Revision and number of nodes; the list contains the first nodes only.
    Truncated(u64, usize),
    /// Node, incarnation, state, tick.
    Report(usize, u128, NodeState, u64),
    Unreachable(usize),
    Wait(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Live nodes of service 0, which has the nodes 0 to 7.
    live: &'static [usize],
}

/// The list lags, goes back to an older revision or is truncated, and state reports arrive late or out of order. Calls
/// must not go to nodes that are leaving or gone, and healthy instances must stay in use.
#[test]
fn the_list_and_the_nodes_own_words_are_weighed() {
    use NodeState::*;
    use Step::*;
    const ALL: &[usize] = &[0, 1, 2, 3, 4, 5, 6, 7];
    const WITHOUT_3: &[usize] = &[0, 1, 2, 4, 5, 6, 7];
    #[rustfmt::skip]
    let cases = [
        Case { name: "the list alone", steps: &[], live: ALL },
        Case { name: "the list says leaving", steps: &[List(2, &[], &[3])], live: WITHOUT_3 },
        Case {
            name: "a leaving report overrides a lagging list, also when the node is listed again",
            steps: &[Report(3, 1, Leaving, 9), List(2, &[3], &[]), List(3, &[], &[]), Wait(120)],
            live: WITHOUT_3,
        },
        Case {
            name: "a late serving report doesn't undo leaving",
            steps: &[Report(3, 1, Leaving, 9), Report(3, 1, Serving, 8), Report(3, 1, Serving, 10)],
            live: WITHOUT_3,
        },
        Case {
            name: "a new incarnation replaces one that left",
            steps: &[Report(3, 1, Leaving, 9), Report(3, 2, Serving, 1)], live: ALL,
        },
        Case {
            name: "a new incarnation that is starting gets no work yet",
            steps: &[Report(3, 1, Leaving, 9), Report(3, 2, Starting, 1)], live: WITHOUT_3,
        },
        Case {
            name: "a late report of the previous incarnation is ignored",
            steps: &[Report(3, 1, Serving, 8), Report(3, 2, Serving, 1), Report(3, 1, Leaving, 9)],
            live: ALL,
        },
        Case {
            name: "a live incarnation returns after a late report of a dead one",
            steps: &[
                Report(3, 2, Serving, 5), Report(3, 1, Leaving, 9), Report(3, 2, Serving, 6), Wait(31),
                Report(3, 2, Serving, 7),
            ],
            live: ALL,
        },
        Case {
            name: "it doesn't return while the other one sends reports",
            steps: &[
                Report(3, 2, Serving, 5), Report(3, 1, Leaving, 9), Report(3, 2, Serving, 6), Wait(20),
                Report(3, 1, Leaving, 10), Wait(20), Report(3, 2, Serving, 7),
            ],
            live: WITHOUT_3,
        },
        Case {
            name: "it doesn't return because of a repeated late report",
            steps: &[
                Report(3, 1, Serving, 5), Report(3, 2, Leaving, 1), Report(3, 1, Serving, 6), Wait(31),
                Report(3, 1, Serving, 6),
            ],
            live: WITHOUT_3,
        },
        Case {
            name: "a list that removes a third of the fleet, some of each service, is held",
            steps: &[List(2, &[0, 1, 2, 8, 9, 10, 16, 17, 24, 25, 32, 33], &[]), Wait(29)],
            live: ALL,
        },
        Case {
            name: "the list lags behind a node that was replaced",
            steps: &[Report(3, 1, Serving, 5), List(2, &[], &[3]), Report(3, 2, Serving, 1)],
            live: ALL,
        },
        Case {
            name: "a first report doesn't override a listed leaving state",
            steps: &[List(2, &[], &[3]), Report(3, 1, Serving, 1)], live: WITHOUT_3,
        },
        Case {
            name: "an older list is ignored",
            steps: &[List(5, &[3], &[]), List(4, &[], &[]), List(5, &[], &[])], live: WITHOUT_3,
        },
        Case {
            name: "an empty list is never applied",
            steps: &[Truncated(2, 0), Wait(999)], live: ALL,
        },
        Case { name: "a truncated list is held", steps: &[Truncated(2, 4), Wait(29)], live: ALL },
        Case {
            name: "a complete list ends the hold",
            steps: &[Truncated(2, 4), Wait(20), List(3, &[], &[]), Wait(20)], live: ALL,
        },
        Case {
            name: "repeated truncated lists neither shorten nor extend the hold",
            steps: &[Truncated(2, 4), Wait(20), Truncated(3, 4), Wait(10)], live: &[0, 1, 2, 3],
        },
        Case {
            name: "a missing node that still sends reports is kept",
            steps: &[Truncated(2, 4), Wait(20), Report(6, 1, Serving, 1), Wait(20)],
            live: &[0, 1, 2, 3, 6],
        },
        Case {
            name: "an unreachable and missing node is removed immediately",
            steps: &[Truncated(2, 4), Unreachable(7), Wait(12)], live: &[0, 1, 2, 3, 4, 5, 6],
        },
        Case {
            name: "an unreachable node is excluded for a while",
            steps: &[Unreachable(7), Wait(9)], live: &[0, 1, 2, 3, 4, 5, 6],
        },
        Case {
            name: "an unreachable node is tried again", steps: &[Unreachable(7), Wait(10)], live: ALL,
        },
        Case {
            name: "an unreachable node is tried earlier after a report",
            steps: &[Unreachable(7), Report(7, 1, Serving, 1)], live: ALL,
        },
        Case {
            name: "all nodes are tried if all are unreachable",
            steps: &[
                Unreachable(0), Unreachable(1), Unreachable(2), Unreachable(3), Unreachable(4),
                Unreachable(5), Unreachable(6), Unreachable(7),
            ],
            live: ALL,
        },
        Case {
            name: "a few removals are applied immediately",
            steps: &[List(2, &[2, 20], &[])], live: &[0, 1, 3, 4, 5, 6, 7],
        },
        Case {
            name: "the removal of a whole service is held",
            steps: &[List(2, ALL, &[]), Wait(29)], live: ALL,
        },
        Case {
            name: "the removal of a whole service is applied after the hold",
            steps: &[List(2, ALL, &[]), Wait(30)], live: &[],
        },
        Case {
            name: "removals of leaving nodes don't count towards the limit",
            steps: &[
                Report(0, 1, Leaving, 1), Report(1, 1, Leaving, 1), Report(2, 1, Leaving, 1),
                Report(3, 1, Leaving, 1), Report(4, 1, Leaving, 1),
                List(2, &[0, 1, 2, 3, 4, 5, 8, 9, 10, 11], &[]),
            ],
            live: &[6, 7],
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut view = fleet::view(NODES, 3, now);
        case.steps
            .iter()
            .fold(now, |now, step| apply(&mut view, *step, now));
        assert_eq!(live_of_first(&view), names(case.live), "{}", case.name);
    }
}

/// A peer is several lists behind, including removals, returns and a held list. If a change were not recorded, a peer
/// that applies the delta would keep an instance that is gone or miss one.
#[test]
fn changes_passed_on_give_the_same_list() {
    let now = Instant::now();
    let mut source = fleet::view(NODES, 3, now);
    let mut peers = vec![source.clone()];
    let steps = [
        Step::List(2, &[3], &[4]),
        Step::List(3, &[], &[]),
        Step::Truncated(4, 9),
        Step::List(5, &[1], &[2]),
        Step::List(9, &[1, 2], &[]),
    ];
    for step in steps {
        apply(&mut source, step, now);
        peers.push(source.clone());
    }
    for mut peer in peers {
        let from = peer.revision();
        let delta = source.delta_since(from);
        assert!(from < Revision(9) || (delta.changed.is_empty() && delta.removed.is_empty()));
        peer.apply_delta(delta, now);
        assert_eq!(
            (peer.revision(), sorted(&peer)),
            (Revision(9), sorted(&source)),
            "{from}"
        );
    }
    let mut late = fleet::view(NODES, 3, now);
    let after = source.delta_since(Revision(5));
    assert_eq!(late.apply_delta(after, now), ListOutcome::Gap);
    // A node that has just started doesn't know the removals before its first list.
    let mut started = View::new(MembershipConfig::default());
    started.apply_list(Revision(9), sorted(&source), now);
    late.apply_delta(started.delta_since(late.revision()), now);
    assert_eq!(sorted(&late), sorted(&source));
    let mut fresh = View::new(MembershipConfig::default());
    let whole = source.delta_since(fresh.revision());
    assert_eq!(fresh.apply_delta(whole, now), ListOutcome::Taken);
    assert_eq!(sorted(&fresh), sorted(&source));
}

#[test]
fn the_platforms_form_of_an_instance_is_read() {
    let text = r#"{"node": "bidding-1", "service": "bidding", "domain": "ba-1", "region": "ba",
        "peer": "127.0.0.1:7101", "operators": "127.0.0.1:7301", "state": "leaving"}"#;
    let read: InstanceEntry = serde_json::from_str(text).expect("valid");
    assert_eq!(
        (read.node.as_str(), read.state),
        ("bidding-1", ListedState::Leaving)
    );
    let written = serde_json::to_string(&read).expect("writable");
    assert_eq!(
        serde_json::from_str::<InstanceEntry>(&written).expect("valid"),
        read
    );
}

/// A state report of the modelled node, received at second `received_at`.
#[derive(Clone, Debug)]
struct Report {
    incarnation: u128,
    state: NodeState,
    tick: u64,
    received_at: u64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), cases: 300, ..ProptestConfig::default()
    })]

    /// Reports of several incarnations are lost, repeated, late and out of order, while the list flaps. If an old
    /// report or list were applied as new, a node that has left would get calls again.
    #[test]
    fn a_node_that_left_is_live_only_in_a_new_incarnation(
        reports in reports(),
        lists in proptest::collection::vec((0_u64..200, 0_u8..4), 0..20),
    ) {
        let start = Instant::now();
        let mut view = fleet::view(NODES, 3, start);
        let mut lists: BTreeMap<u64, u8> = lists.into_iter().collect();
        let mut known_incarnations: Vec<u128> = Vec::new();
        let mut left = false;
        let mut revision = 1;
        let mut truncated_since: Option<u64> = None;
        for second in 0..300 {
            let now = start + Duration::from_secs(second);
            view.advance(now);
            for report in reports.iter().filter(|report| report.received_at == second) {
                let incarnation = Incarnation(report.incarnation);
                let tick = Tick(report.tick);
                let outcome = view.record_report(&node(3), incarnation, report.state, tick, now);
                if !known_incarnations.contains(&report.incarnation) {
                    known_incarnations.push(report.incarnation);
                    left = false;
                }
                let is_current = view.incarnation(&node(3)) == Some(incarnation);
                left |= is_current && report.state == NodeState::Leaving;
                prop_assert!(is_current || outcome == StateReportOutcome::Stale);
            }
            if let Some(kind) = lists.remove(&second) {
                revision += 1;
                view.apply_list(Revision(revision), faulty_list(kind), now);
                truncated_since = match kind {
                    TRUNCATED => truncated_since.or(Some(second)),
                    EMPTY => truncated_since,
                    _ => None,
                };
            }
            prop_assert!(!(left && view.is_live(&node(3))), "live after leaving, second {second}");
            let is_kept = truncated_since.is_none_or(|since| second - since < 30);
            let kept = view.live(&ServiceName::from("service-2")).len();
            prop_assert_eq!(kept, if is_kept { 8 } else { 0 }, "second {}", second);
        }
    }
}

/// Reports of three consecutive incarnations, each received up to 20 s late, never, or twice.
fn reports() -> impl Strategy<Value = Vec<Report>> {
    let delays = proptest::collection::vec(proptest::option::weighted(0.8, 0_u64..20), 120);
    let ends = proptest::collection::vec(5_u64..30, 3);
    (delays, ends).prop_map(|(delays, ends)| {
        let mut reports = Vec::new();
        let mut sent = 0;
        let mut delays = delays.into_iter();
        for (incarnation, end) in ends.into_iter().enumerate() {
            for tick in 0..end {
                let state = match tick {
                    0 | 1 => NodeState::Starting,
                    _ if tick + 3 >= end => NodeState::Leaving,
                    _ => NodeState::Serving,
                };
                sent += 1;
                for delay in [delays.next(), delays.next()]
                    .into_iter()
                    .flatten()
                    .flatten()
                {
                    let incarnation = incarnation as u128 + 1;
                    reports.push(Report {
                        incarnation,
                        state,
                        tick,
                        received_at: sent + delay,
                    });
                }
            }
        }
        reports
    })
}

/// Lists that a faulty platform returns: complete, truncated before service 2, empty, without the modelled node.
fn faulty_list(kind: u8) -> Vec<InstanceEntry> {
    let mut entries = list(NODES, 3);
    match kind {
        WHOLE => {}
        TRUNCATED => entries.truncate(16),
        EMPTY => entries.clear(),
        _ => drop(entries.remove(3)),
    }
    entries
}

fn apply(view: &mut View, step: Step, now: Instant) -> Instant {
    match step {
        Step::List(revision, without, leaving) => {
            let mut entries = list(NODES, 3);
            for index in leaving {
                entries[*index] = entry(
                    *index,
                    &entries[*index].service.0,
                    *index % 3,
                    ListedState::Leaving,
                );
            }
            entries.retain(|entry| !without.iter().any(|index| entry.node == node(*index)));
            view.apply_list(Revision(revision), entries, now);
        }
        Step::Truncated(revision, count) => {
            view.apply_list(Revision(revision), list(count, 3), now);
        }
        Step::Report(index, incarnation, state, tick) => {
            view.record_report(
                &node(index),
                Incarnation(incarnation),
                state,
                Tick(tick),
                now,
            );
        }
        Step::Unreachable(index) => view.unreachable(&node(index), now),
        Step::Wait(seconds) => {
            let now = now + Duration::from_secs(seconds);
            view.advance(now);
            return now;
        }
    }
    now
}

fn live_of_first(view: &View) -> Vec<String> {
    let live = view.live(&ServiceName::from("service-0"));
    live.into_iter()
        .map(|entry| entry.node.to_string())
        .collect()
}

fn names(indexes: &[usize]) -> Vec<String> {
    indexes
        .iter()
        .map(|index| node(*index).to_string())
        .collect()
}

/// Sorted entries as sent to a peer, without those missing from the newest list.
fn sorted(view: &View) -> Vec<InstanceEntry> {
    let mut entries = view.delta_since(Revision(0)).changed;
    entries.sort_by(|a, b| a.node.cmp(&b.node));
    entries
}
