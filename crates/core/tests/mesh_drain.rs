//! Tests of the admission of requests by a draining node.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Drain, DrainConfig};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Configuration of a node with a grace period of 6 s.
const CFG: DrainConfig = DrainConfig {
    grace_period: ms(6000),
    caller_window: ms(2400),
    margin: ms(500),
    tail_factor: 2.0,
};

/// Guards against admitting a request that can't finish before the forced end of the node, which then kills it while it
/// runs.
#[test]
fn draining_node_admits_requests_expected_to_finish_in_time() {
    struct Case {
        name: &'static str,
        elapsed: u64,
        expected: u64,
        left: u64,
        caller: bool,
        peer: bool,
    }
    let cases = [
        Case {
            name: "short, immediately",
            elapsed: 0,
            expected: 100,
            left: 5000,
            caller: true,
            peer: true,
        },
        Case {
            name: "unknown kind",
            elapsed: 2300,
            expected: 0,
            left: 9000,
            caller: true,
            peer: true,
        },
        Case {
            name: "long, immediately",
            elapsed: 0,
            expected: 2500,
            left: 9000,
            caller: true,
            peer: false,
        },
        Case {
            name: "short, just before the end of the caller window",
            elapsed: 2200,
            expected: 150,
            left: 5000,
            caller: true,
            peer: false,
        },
        Case {
            name: "long, later",
            elapsed: 1000,
            expected: 2500,
            left: 9000,
            caller: false,
            peer: false,
        },
        Case {
            name: "long, but bounded by its deadline",
            elapsed: 1000,
            expected: 2500,
            left: 4000,
            caller: true,
            peer: false,
        },
        Case {
            name: "short, after the caller window",
            elapsed: 2400,
            expected: 10,
            left: 5000,
            caller: false,
            peer: false,
        },
        Case {
            name: "short, after the grace period",
            elapsed: 7000,
            expected: 10,
            left: 5000,
            caller: false,
            peer: false,
        },
    ];
    let now = Instant::now();
    for case in cases {
        let drain = Drain::new(CFG, now);
        let (expected, left) = (ms(case.expected), ms(case.left));
        let at = now + ms(case.elapsed);
        let admits = drain.admits_caller(expected, left, at);
        assert_eq!(admits, case.caller, "{}, caller", case.name);
        let admits = drain.admits_peer(expected, left, at);
        assert_eq!(admits, case.peer, "{}, peer", case.name);
    }
}

/// With a grace period shorter than the margin, no request that takes time is admitted.
#[test]
fn grace_period_below_the_margin_admits_nothing_that_takes_time() {
    let now = Instant::now();
    let cfg = DrainConfig {
        grace_period: ms(400),
        ..Default::default()
    };
    let drain = Drain::new(cfg, now);
    assert!(!drain.admits_caller(ms(10), ms(5000), now));
    assert!(!drain.admits_peer(ms(10), ms(5000), now));
}

/// Guards against requests that wait, and calls of runs that are sent, until the forced end of the node: they end without a
/// response.
#[test]
fn draining_node_ends_waits_and_starts_in_time() {
    struct Case {
        name: &'static str,
        elapsed: u64,
        expected: u64,
        left: u64,
        waits: bool,
        starts: bool,
    }
    let cases = [
        Case {
            name: "unknown kind, after the caller window",
            elapsed: 4900,
            expected: 0,
            left: 9000,
            waits: true,
            starts: true,
        },
        Case {
            name: "unknown kind, last sixth of the grace period",
            elapsed: 5000,
            expected: 0,
            left: 9000,
            waits: false,
            starts: false,
        },
        Case {
            name: "short, last sixth of the grace period",
            elapsed: 5000,
            expected: 200,
            left: 9000,
            waits: false,
            starts: true,
        },
        Case {
            name: "short, within the margin",
            elapsed: 5400,
            expected: 51,
            left: 9000,
            waits: false,
            starts: false,
        },
        Case {
            name: "long, while it can still end",
            elapsed: 2500,
            expected: 1500,
            left: 9000,
            waits: true,
            starts: true,
        },
        Case {
            name: "long, when it can't end any more",
            elapsed: 2501,
            expected: 1500,
            left: 9000,
            waits: false,
            starts: false,
        },
        Case {
            name: "long, but bounded by its deadline",
            elapsed: 4500,
            expected: 1500,
            left: 1000,
            waits: true,
            starts: true,
        },
        Case {
            name: "after the grace period",
            elapsed: 7000,
            expected: 0,
            left: 0,
            waits: false,
            starts: false,
        },
    ];
    let now = Instant::now();
    assert_eq!(CFG.waiting_end(), ms(5000));
    let drain = Drain::new(CFG, now);
    for case in cases {
        let (expected, left) = (ms(case.expected), ms(case.left));
        let at = now + ms(case.elapsed);
        let waits = drain.lets_wait(expected, left, at);
        assert_eq!(waits, case.waits, "{}, waiting", case.name);
        let starts = drain.lets_start(expected, left, at);
        assert_eq!(starts, case.starts, "{}, start", case.name);
    }
}

/// Guards against a node that queues a request of another node after it has refused those that wait.
#[test]
fn nothing_is_queued_after_waits_have_ended() {
    let now = Instant::now();
    for grace_ms in [200, 400, 1000, 2000, 2900, 3000, 6000, 30_000] {
        let cfg = DrainConfig {
            grace_period: ms(grace_ms),
            ..Default::default()
        };
        let drain = Drain::new(cfg, now);
        let end = now + cfg.waiting_end();
        assert!(!drain.admits_peer(ms(1), ms(5000), end), "{grace_ms} ms");
        assert!(!drain.lets_wait(ms(0), ms(5000), end), "{grace_ms} ms");
    }
}
