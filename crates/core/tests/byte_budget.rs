//! Which connections are read, refused and closed when much is held for them.

use coltsfootport_core::mesh::{ByteBudget, ByteBudgetConfig, Holder};
use proptest::collection::vec;
use proptest::prelude::*;

/// Limit of these tests in bytes.
const LIMIT: usize = 10_000;

/// Least part of a connection in bytes.
const SMALLEST_PART: usize = 500;

fn budget() -> ByteBudget {
    ByteBudget::new(ByteBudgetConfig {
        limit: LIMIT,
        requests: 100,
        smallest_part: SMALLEST_PART,
        ..ByteBudgetConfig::default()
    })
}

/// Opens a connection for each of these numbers of bytes.
fn open(budget: &mut ByteBudget, bytes: &[usize]) -> Vec<Holder> {
    let holders = bytes.iter().map(|bytes| {
        let holder = budget.open();
        budget.hold(holder, *bytes);
        holder
    });
    holders.collect()
}

#[derive(Clone, Copy)]
struct ReadCase {
    name: &'static str,
    /// Bytes of the connection in question, and of the others.
    own: usize,
    others: &'static [usize],
    may_read: bool,
}

/// One caller that holds much must not stop the reading of others, nor be stopped while there is room.
#[test]
fn connections_above_their_part_pause_while_the_process_is_crowded() {
    let cases = [
        ReadCase {
            name: "much, with room left",
            own: 4_900,
            others: &[100],
            may_read: true,
        },
        ReadCase {
            name: "much, crowded",
            own: 4_900,
            others: &[200],
            may_read: false,
        },
        ReadCase {
            name: "little, crowded by another",
            own: 100,
            others: &[5_000],
            may_read: true,
        },
        ReadCase {
            name: "nothing, crowded by many",
            own: 0,
            others: &[400; 20],
            may_read: true,
        },
        ReadCase {
            name: "the part of one request, crowded by many",
            own: SMALLEST_PART - 1,
            others: &[400; 20],
            may_read: true,
        },
        ReadCase {
            name: "more than one request, crowded by many",
            own: SMALLEST_PART,
            others: &[400; 20],
            may_read: false,
        },
    ];
    for case in cases {
        let mut budget = budget();
        let own = open(&mut budget, &[case.own])[0];
        open(&mut budget, case.others);
        assert_eq!(budget.may_read(own), case.may_read, "{}", case.name);
    }
}

#[derive(Clone, Copy)]
struct AdmissionCase {
    name: &'static str,
    own: usize,
    others: &'static [usize],
    needed: usize,
    admitted: bool,
}

/// A request is refused before it starts rather than in place of another that is at work.
#[test]
fn requests_are_admitted_while_there_is_room_or_a_greedy_connection() {
    let cases = [
        AdmissionCase {
            name: "room left",
            own: 0,
            others: &[1_000; 8],
            needed: 1_000,
            admitted: true,
        },
        AdmissionCase {
            name: "no room, all alike",
            own: 0,
            others: &[1_000; 9],
            needed: 1_000,
            admitted: false,
        },
        AdmissionCase {
            name: "no room, one holds most of it",
            own: 0,
            others: &[8_500, 500],
            needed: 1_000,
            admitted: true,
        },
        AdmissionCase {
            name: "no room, and it holds most of it itself",
            own: 8_500,
            others: &[500],
            needed: 1_000,
            admitted: false,
        },
    ];
    for case in cases {
        let mut budget = budget();
        let own = open(&mut budget, &[case.own])[0];
        open(&mut budget, case.others);
        let admitted = budget.admits(own, case.needed);
        assert_eq!(admitted, case.admitted, "{}", case.name);
    }
}

/// A small request counts for the descriptors that it takes.
#[test]
fn small_requests_take_up_the_limit_by_their_number() {
    assert_eq!(budget().smallest_request(), LIMIT / 100);
}

/// Above the limit the connection with the most is closed, and nothing is closed below it.
#[test]
fn the_connection_with_the_most_is_evicted() {
    let mut budget = budget();
    let holders = open(&mut budget, &[2_000, 5_000, 2_900]);
    assert_eq!(budget.evict_excess(), None);
    budget.hold(holders[0], 101);
    assert_eq!(budget.evict_excess(), Some(holders[1]));
    assert_eq!(budget.evict_excess(), None);
    assert_eq!((budget.kept(), budget.held()), (5_001, 10_001));
}

/// Among connections that hold about as much, the one that makes progress stays.
#[test]
fn a_connection_that_moves_is_evicted_after_one_that_stands_still() {
    let mut budget = budget();
    let holders = open(&mut budget, &[3_000, 3_400, 3_400]);
    budget.release(holders[1], 50);
    budget.hold(holders[1], 50);
    budget.hold(holders[0], 300);
    assert_eq!(budget.evict_excess(), Some(holders[2]));
}

/// What an evicted connection still holds evicts no other one, and leaves no room for new requests until it is gone.
#[test]
fn an_evicted_connection_does_not_count() {
    let mut budget = budget();
    let holders = open(&mut budget, &[9_000, 1_500]);
    assert_eq!(budget.evict_excess(), Some(holders[0]));
    budget.hold(holders[0], 5_000);
    assert_eq!(budget.evict_excess(), None);
    assert!(!budget.admits(holders[1], 100));
    budget.close(holders[0]);
    assert!(budget.admits(holders[1], 100));
    assert_eq!((budget.kept(), budget.held()), (1_500, 1_500));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Hold(usize, usize),
    Release(usize, usize),
    Close(usize),
    CloseEvicted,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => Just(Step::Open),
        5 => (0..20usize, 0..3_000usize).prop_map(|(n, bytes)| Step::Hold(n, bytes)),
        3 => (0..20usize, 0..3_000usize).prop_map(|(n, bytes)| Step::Release(n, bytes)),
        1 => (0..20usize).prop_map(Step::Close),
        1 => Just(Step::CloseEvicted),
    ];
    vec(step, 0..200)
}

proptest! {
    /// After evictions no more than the limit is held for the connections that stay, and the sums are right.
    #[test]
    fn the_limit_holds_in_any_order(steps in steps()) {
        let mut budget = budget();
        let mut kept: Vec<Holder> = Vec::new();
        let mut evicted: Vec<Holder> = Vec::new();
        for step in steps {
            match step {
                Step::Open => kept.push(budget.open()),
                Step::Hold(n, bytes) if n < kept.len() => budget.hold(kept[n], bytes),
                Step::Release(n, bytes) if n < kept.len() => budget.release(kept[n], bytes),
                Step::Close(n) if n < kept.len() => budget.close(kept.swap_remove(n)),
                Step::CloseEvicted => evicted.drain(..).for_each(|holder| budget.close(holder)),
                _ => {}
            }
            while let Some(excess) = budget.evict_excess() {
                prop_assert!(kept.contains(&excess));
                kept.retain(|holder| *holder != excess);
                evicted.push(excess);
            }
            prop_assert!(budget.kept() <= LIMIT);
            let sum = |holders: &[Holder]| -> usize {
                holders.iter().map(|holder| budget.held_by(*holder)).sum()
            };
            prop_assert_eq!(budget.kept(), sum(&kept));
            prop_assert_eq!(budget.held(), sum(&kept) + sum(&evicted));
        }
    }
}
