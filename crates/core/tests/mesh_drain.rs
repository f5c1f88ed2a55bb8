//! What a draining node admits.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Drain, DrainConfig};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A request that can't end before the node must: the node took it and was killed with it at work.
#[test]
fn a_draining_node_admits_what_it_expects_to_end() {
    struct Case {
        name: &'static str,
        passed: u64,
        expected: u64,
        left: u64,
        caller: bool,
        peer: bool,
    }
    let cases = [
        Case {
            name: "short, at once",
            passed: 0,
            expected: 100,
            left: 5000,
            caller: true,
            peer: true,
        },
        Case {
            name: "unknown kind",
            passed: 2300,
            expected: 0,
            left: 9000,
            caller: true,
            peer: true,
        },
        Case {
            name: "long, at once",
            passed: 0,
            expected: 2500,
            left: 9000,
            caller: true,
            peer: false,
        },
        Case {
            name: "short, just before callers have been told",
            passed: 2200,
            expected: 150,
            left: 5000,
            caller: true,
            peer: false,
        },
        Case {
            name: "long, later",
            passed: 1000,
            expected: 2500,
            left: 9000,
            caller: false,
            peer: false,
        },
        Case {
            name: "long, but limited by its own time",
            passed: 1000,
            expected: 2500,
            left: 4000,
            caller: true,
            peer: false,
        },
        Case {
            name: "short, after callers have been told",
            passed: 2400,
            expected: 10,
            left: 5000,
            caller: false,
            peer: false,
        },
        Case {
            name: "short, after the end",
            passed: 7000,
            expected: 10,
            left: 5000,
            caller: false,
            peer: false,
        },
    ];
    let now = Instant::now();
    let cfg = DrainConfig {
        grace_period: ms(6000),
        caller_window: ms(2400),
        margin: ms(500),
        tail_factor: 2.0,
    };
    for case in cases {
        let drain = Drain::new(cfg, now);
        let (expected, left) = (ms(case.expected), ms(case.left));
        let then = now + ms(case.passed);
        let admits = drain.admits_caller(expected, left, then);
        assert_eq!(admits, case.caller, "{}, caller", case.name);
        let admits = drain.admits_peer(expected, left, then);
        assert_eq!(admits, case.peer, "{}, peer", case.name);
    }
}

/// A grace period shorter than its margin: nothing that takes time is admitted.
#[test]
fn a_short_grace_period_admits_nothing_that_takes_time() {
    let now = Instant::now();
    let cfg = DrainConfig {
        grace_period: ms(400),
        ..Default::default()
    };
    let drain = Drain::new(cfg, now);
    assert!(!drain.admits_caller(ms(10), ms(5000), now));
    assert!(!drain.admits_peer(ms(10), ms(5000), now));
}
