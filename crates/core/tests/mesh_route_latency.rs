//! The usual response time of a route, with which instances are compared.

use std::time::Duration;

use coltsfootport_core::mesh::RouteLatency;

struct Case {
    name: &'static str,
    /// Response times in milliseconds.
    took: &'static [u64],
    usual: u64,
}

const CASES: [Case; 5] = [
    Case {
        name: "no response",
        took: &[],
        usual: 0,
    },
    Case {
        name: "one response",
        took: &[40],
        usual: 40,
    },
    Case {
        name: "a slow first response",
        took: &[250, 10, 11, 10, 10],
        usual: 10,
    },
    Case {
        name: "a fast first response",
        took: &[1, 10, 11, 10, 10],
        usual: 10,
    },
    Case {
        name: "a slow response later on",
        took: &[10, 10, 10, 10, 10, 50],
        usual: 12,
    },
];

#[test]
fn the_usual_response_time_follows_the_responses() {
    for case in CASES {
        let mut latency = RouteLatency::default();
        for took in case.took {
            latency.record(Duration::from_millis(*took));
        }
        assert_eq!(
            latency.usual().as_millis(),
            u128::from(case.usual),
            "{}",
            case.name
        );
    }
}

/// Guards against instances that are judged by a first response that was slow for reasons of its own.
#[test]
fn responses_after_a_slow_first_one_do_not_look_fast() {
    let mut latency = RouteLatency::default();
    let took = [250, 10, 10, 10, 10, 10, 10, 10];
    let relative = took.map(|took| latency.record(Duration::from_millis(took)));
    assert_eq!(relative, [1.0; 8]);
}
