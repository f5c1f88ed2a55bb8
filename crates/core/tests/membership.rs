//! What a node believes of the fleet: the lagging list against the nodes' own words.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::Revision;
use coltsfootport_core::id::{Incarnation, ServiceName};
use coltsfootport_core::membership::{
    InstanceEntry, ListOutcome, ListedState, MembershipConfig, NodeState, View, WordOutcome,
};
use coltsfootport_core::once::Tick;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use fleet::{entry, list, node};

const NODES: usize = 40;

/// Kinds of lists as a platform in trouble gives them.
const WHOLE: u8 = 0;
const CUT: u8 = 1;
const EMPTY: u8 = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The list of this revision, with all nodes but these, and these leaving.
    List(u64, &'static [usize], &'static [usize]),
    /// A list of this revision with the first nodes only.
    Truncated(u64, usize),
    /// Node, incarnation, state, tick.
    Heard(usize, u128, NodeState, u64),
    Unreachable(usize),
    Wait(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Live nodes of service 0, which has the nodes 0 to 7.
    live: &'static [usize],
}

/// Symptom: calls go to a node that leaves or is gone, or instances that are well get none. Sequence: each case lists
/// it. Cause: the list lags, goes back or is cut short, and words of nodes arrive late or out of order.
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
            name: "a word of leaving beats a list that lags, also when the node is listed anew",
            steps: &[Heard(3, 1, Leaving, 9), List(2, &[3], &[]), List(3, &[], &[]), Wait(120)],
            live: WITHOUT_3,
        },
        Case {
            name: "a late word of serving doesn't undo leaving",
            steps: &[Heard(3, 1, Leaving, 9), Heard(3, 1, Serving, 8), Heard(3, 1, Serving, 10)],
            live: WITHOUT_3,
        },
        Case {
            name: "a new incarnation replaces one that left",
            steps: &[Heard(3, 1, Leaving, 9), Heard(3, 2, Serving, 1)], live: ALL,
        },
        Case {
            name: "a new incarnation that starts gets no work yet",
            steps: &[Heard(3, 1, Leaving, 9), Heard(3, 2, Starting, 1)], live: WITHOUT_3,
        },
        Case {
            name: "a late word of the incarnation before is ignored",
            steps: &[Heard(3, 1, Serving, 8), Heard(3, 2, Serving, 1), Heard(3, 1, Leaving, 9)],
            live: ALL,
        },
        Case {
            name: "a living incarnation returns when a dead one was heard late",
            steps: &[
                Heard(3, 2, Serving, 5), Heard(3, 1, Leaving, 9), Heard(3, 2, Serving, 6), Wait(31),
                Heard(3, 2, Serving, 7),
            ],
            live: ALL,
        },
        Case {
            name: "it doesn't while the other one speaks",
            steps: &[
                Heard(3, 2, Serving, 5), Heard(3, 1, Leaving, 9), Heard(3, 2, Serving, 6), Wait(20),
                Heard(3, 1, Leaving, 10), Wait(20), Heard(3, 2, Serving, 7),
            ],
            live: WITHOUT_3,
        },
        Case {
            name: "nor by one late word that comes again and again",
            steps: &[
                Heard(3, 1, Serving, 5), Heard(3, 2, Leaving, 1), Heard(3, 1, Serving, 6), Wait(31),
                Heard(3, 1, Serving, 6),
            ],
            live: WITHOUT_3,
        },
        Case {
            name: "a list that lacks a third of the fleet, of every service some, is held",
            steps: &[List(2, &[0, 1, 2, 8, 9, 10, 16, 17, 24, 25, 32, 33], &[]), Wait(29)],
            live: ALL,
        },
        Case {
            name: "the list lags behind a node that was replaced",
            steps: &[Heard(3, 1, Serving, 5), List(2, &[], &[3]), Heard(3, 2, Serving, 1)],
            live: ALL,
        },
        Case {
            name: "a first word doesn't undo what the list says of leaving",
            steps: &[List(2, &[], &[3]), Heard(3, 1, Serving, 1)], live: WITHOUT_3,
        },
        Case {
            name: "an older list is ignored",
            steps: &[List(5, &[3], &[]), List(4, &[], &[]), List(5, &[], &[])], live: WITHOUT_3,
        },
        Case {
            name: "an empty list is never believed",
            steps: &[Truncated(2, 0), Wait(999)], live: ALL,
        },
        Case { name: "a truncated list is held", steps: &[Truncated(2, 4), Wait(29)], live: ALL },
        Case {
            name: "a whole list ends the doubt",
            steps: &[Truncated(2, 4), Wait(20), List(3, &[], &[]), Wait(20)], live: ALL,
        },
        Case {
            name: "truncated lists one after the other aren't believed sooner, nor later",
            steps: &[Truncated(2, 4), Wait(20), Truncated(3, 4), Wait(10)], live: &[0, 1, 2, 3],
        },
        Case {
            name: "a node that speaks on is kept though lists lack it",
            steps: &[Truncated(2, 4), Wait(20), Heard(6, 1, Serving, 1), Wait(20)],
            live: &[0, 1, 2, 3, 6],
        },
        Case {
            name: "a node that can't be reached and isn't listed is gone at once",
            steps: &[Truncated(2, 4), Unreachable(7), Wait(12)], live: &[0, 1, 2, 3, 4, 5, 6],
        },
        Case {
            name: "a node that can't be reached is left out for a while",
            steps: &[Unreachable(7), Wait(9)], live: &[0, 1, 2, 3, 4, 5, 6],
        },
        Case { name: "and tried again", steps: &[Unreachable(7), Wait(10)], live: ALL },
        Case {
            name: "or sooner when it speaks",
            steps: &[Unreachable(7), Heard(7, 1, Serving, 1)], live: ALL,
        },
        Case {
            name: "when nobody can be reached, all are tried",
            steps: &[
                Unreachable(0), Unreachable(1), Unreachable(2), Unreachable(3), Unreachable(4),
                Unreachable(5), Unreachable(6), Unreachable(7),
            ],
            live: ALL,
        },
        Case {
            name: "a few that go are believed at once",
            steps: &[List(2, &[2, 20], &[])], live: &[0, 1, 3, 4, 5, 6, 7],
        },
        Case {
            name: "a service that vanishes from the list is held",
            steps: &[List(2, ALL, &[]), Wait(29)], live: ALL,
        },
        Case {
            name: "and believed after a while",
            steps: &[List(2, ALL, &[]), Wait(30)], live: &[],
        },
        Case {
            name: "nodes that said they leave don't make a list suspicious",
            steps: &[
                Heard(0, 1, Leaving, 1), Heard(1, 1, Leaving, 1), Heard(2, 1, Leaving, 1),
                Heard(3, 1, Leaving, 1), Heard(4, 1, Leaving, 1),
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

/// Symptom: a peer that gets changes in place of the list keeps an instance that is gone, or misses one. Sequence: the
/// peer is behind by some lists, among them removals, returns and a held list. Cause: a change isn't remembered.
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
    // A node that has just started doesn't know what went away before its first list.
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

/// One word of the modelled node, sent at a second and heard at another.
#[derive(Clone, Debug)]
struct Word {
    incarnation: u128,
    state: NodeState,
    tick: u64,
    heard: u64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), cases: 300, ..ProptestConfig::default()
    })]

    /// Symptom: a node that has left gets calls again. Sequence: words of several incarnations, lost, repeated, late and
    /// out of order, among lists that flap. Cause: an old word or list is taken for news.
    #[test]
    fn a_node_that_left_is_live_only_in_a_new_incarnation(
        words in words(),
        lists in proptest::collection::vec((0_u64..200, 0_u8..4), 0..20),
    ) {
        let start = Instant::now();
        let mut view = fleet::view(NODES, 3, start);
        let mut lists: BTreeMap<u64, u8> = lists.into_iter().collect();
        let mut heard: Vec<u128> = Vec::new();
        let mut left = false;
        let mut revision = 1;
        let mut cut_since: Option<u64> = None;
        for second in 0..300 {
            let now = start + Duration::from_secs(second);
            view.advance(now);
            for word in words.iter().filter(|word| word.heard == second) {
                let incarnation = Incarnation(word.incarnation);
                let outcome = view.heard(&node(3), incarnation, word.state, Tick(word.tick), now);
                if !heard.contains(&word.incarnation) {
                    heard.push(word.incarnation);
                    left = false;
                }
                let is_current = view.incarnation(&node(3)) == Some(incarnation);
                left |= is_current && word.state == NodeState::Leaving;
                prop_assert!(is_current || outcome == WordOutcome::Stale);
            }
            if let Some(kind) = lists.remove(&second) {
                revision += 1;
                view.apply_list(Revision(revision), flapping(kind), now);
                cut_since = match kind {
                    CUT => cut_since.or(Some(second)),
                    EMPTY => cut_since,
                    _ => None,
                };
            }
            prop_assert!(!(left && view.is_live(&node(3))), "live after leaving, second {second}");
            let doubted = cut_since.is_none_or(|since| second - since < 30);
            let kept = view.live(&ServiceName::from("service-2")).len();
            prop_assert_eq!(kept, if doubted { 8 } else { 0 }, "second {}", second);
        }
    }
}

/// Words of three incarnations that live one after the other; each is heard up to 20 s late, never, or twice.
fn words() -> impl Strategy<Value = Vec<Word>> {
    let delays = proptest::collection::vec(proptest::option::weighted(0.8, 0_u64..20), 120);
    let ends = proptest::collection::vec(5_u64..30, 3);
    (delays, ends).prop_map(|(delays, ends)| {
        let mut words = Vec::new();
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
                    words.push(Word {
                        incarnation,
                        state,
                        tick,
                        heard: sent + delay,
                    });
                }
            }
        }
        words
    })
}

/// Lists as a platform in trouble gives them: whole, cut short before service 2, empty, without the modelled node.
fn flapping(kind: u8) -> Vec<InstanceEntry> {
    let mut entries = list(NODES, 3);
    match kind {
        WHOLE => {}
        CUT => entries.truncate(16),
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
        Step::Heard(index, incarnation, state, tick) => {
            view.heard(
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

/// The entries without those that the newest list lacks, as a peer gets them.
fn sorted(view: &View) -> Vec<InstanceEntry> {
    let mut entries = view.delta_since(Revision(0)).changed;
    entries.sort_by(|a, b| a.node.cmp(&b.node));
    entries
}
