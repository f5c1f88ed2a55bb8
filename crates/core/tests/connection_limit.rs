//! Which connections of callers are closed when there are too many.

use coltsfootport_core::mesh::{ConnectionKey, ConnectionLimit, ConnectionLimitConfig};
use proptest::collection::vec;
use proptest::prelude::*;

/// Bound of these tests.
const MAX: usize = 10;

fn connections() -> ConnectionLimit {
    ConnectionLimit::new(ConnectionLimitConfig {
        descriptors: 2 * MAX,
        ..ConnectionLimitConfig::default()
    })
}

fn open(connections: &mut ConnectionLimit, count: usize) -> Vec<ConnectionKey> {
    (0..count).map(|_| connections.open()).collect()
}

/// The longest idle connections make room; those with requests at work stay.
#[test]
fn the_longest_idle_connection_is_closed_first() {
    let mut connections = connections();
    let conns = open(&mut connections, MAX);
    assert_eq!(connections.evict_excess(), None);
    connections.set_busy(conns[0]);
    connections.set_busy(conns[1]);
    connections.set_idle(conns[1]);
    open(&mut connections, 2);
    assert_eq!(connections.evict_excess(), Some(conns[2]));
    assert_eq!(connections.evict_excess(), Some(conns[3]));
    assert_eq!(connections.evict_excess(), None);
}

/// A request that arrives while its connection is told to close is served.
#[test]
fn a_request_withdraws_the_eviction() {
    let mut connections = connections();
    let conns = open(&mut connections, MAX + 1);
    assert_eq!(connections.evict_excess(), Some(conns[0]));
    assert!(connections.is_evicted(conns[0]));
    connections.set_busy(conns[0]);
    assert!(!connections.is_evicted(conns[0]));
    assert_eq!(connections.evict_excess(), Some(conns[1]));
}

/// A connection may defer its eviction once, and another one makes room in its place. It may again after a request.
#[test]
fn an_eviction_is_deferred_once() {
    let mut connections = connections();
    let conns = open(&mut connections, MAX + 1);
    assert_eq!(connections.evict_excess(), Some(conns[0]));
    assert!(connections.defer_eviction(conns[0]));
    for conn in &conns[1..] {
        assert_eq!(connections.evict_excess(), Some(*conn));
        assert!(connections.defer_eviction(*conn));
    }
    assert_eq!(connections.evict_excess(), Some(conns[0]));
    assert!(!connections.defer_eviction(conns[0]));
    connections.set_busy(conns[0]);
    connections.set_idle(conns[0]);
    assert_eq!(connections.evict_excess(), Some(conns[0]));
    assert!(connections.defer_eviction(conns[0]));
    assert_eq!(connections.evict_excess(), Some(conns[1]));
    assert!(!connections.defer_eviction(conns[1]));
}

/// A connection that has deferred its eviction stays while another one is idle, however many come.
#[test]
fn others_are_evicted_before_one_that_has_deferred_it() {
    let mut connections = connections();
    let reading = open(&mut connections, MAX + 1)[0];
    assert_eq!(connections.evict_excess(), Some(reading));
    assert!(connections.defer_eviction(reading));
    for _ in 0..3 * MAX {
        open(&mut connections, 1);
        let evicted = connections.evict_excess().expect("one too many");
        assert_ne!(evicted, reading);
        connections.close(evicted);
    }
}

/// Nothing is closed that has a request at work, however many there are.
#[test]
fn busy_connections_are_never_closed() {
    let mut connections = connections();
    for conn in open(&mut connections, 3 * MAX) {
        connections.set_busy(conn);
    }
    assert_eq!(connections.evict_excess(), None);
    assert_eq!(connections.evict_longest_idle(), None);
    assert!(connections.is_crowded());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Busy(usize),
    Idle(usize),
    Close(usize),
    Evict,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Open),
        2 => (0..40usize).prop_map(Step::Busy),
        2 => (0..40usize).prop_map(Step::Idle),
        1 => (0..40usize).prop_map(Step::Close),
        3 => Just(Step::Evict),
    ];
    vec(step, 0..200)
}

proptest! {
    /// After eviction at most the bound is left, unless every further connection has a request at work.
    #[test]
    fn the_bound_holds_for_what_is_not_busy(steps in steps()) {
        let mut connections = connections();
        let mut open: Vec<(ConnectionKey, bool)> = Vec::new();
        for step in steps {
            match step {
                Step::Open => open.push((connections.open(), false)),
                Step::Busy(n) if n < open.len() => {
                    open[n].1 = true;
                    connections.set_busy(open[n].0);
                }
                Step::Idle(n) if n < open.len() => {
                    open[n].1 = false;
                    connections.set_idle(open[n].0);
                }
                Step::Close(n) if n < open.len() => connections.close(open.swap_remove(n).0),
                Step::Evict => {
                    while let Some(conn) = connections.evict_excess() {
                        let at = open.iter().position(|(key, _)| *key == conn).expect("open");
                        prop_assert!(!open[at].1, "a connection with a request at work");
                        prop_assert!(connections.is_evicted(conn));
                        open.swap_remove(at);
                        connections.close(conn);
                    }
                    let busy = open.iter().filter(|(_, busy)| *busy).count();
                    prop_assert!(connections.len() <= MAX.max(busy));
                }
                _ => {}
            }
            prop_assert_eq!(connections.len(), open.len());
        }
    }
}
