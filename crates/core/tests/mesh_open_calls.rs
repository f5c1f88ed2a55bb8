//! Tests of the time that runs spend waiting for calls of their own.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::OpenCalls;

#[derive(Clone, Copy)]
enum Event {
    Begin(u64),
    End(u64),
}

struct Case {
    name: &'static str,
    /// Events with their times in milliseconds.
    events: &'static [Event],
    /// Time waited 100 ms after the start, in milliseconds.
    expected: u64,
}

/// Guards against a service that reports overload while it has nothing to do but wait for a slow service below it.
#[test]
fn only_time_without_an_open_call_is_work() {
    use Event::{Begin, End};
    let cases = [
        Case {
            name: "no call",
            events: &[],
            expected: 0,
        },
        Case {
            name: "one after the other",
            events: &[Begin(10), End(30), Begin(50), End(60)],
            expected: 30,
        },
        Case {
            name: "side by side",
            events: &[Begin(10), Begin(20), End(30), End(60)],
            expected: 50,
        },
        Case {
            name: "still open",
            events: &[Begin(40)],
            expected: 60,
        },
        Case {
            name: "an end without a begin",
            events: &[End(10), Begin(20), End(50)],
            expected: 30,
        },
    ];
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for case in cases {
        let mut calls = OpenCalls::default();
        for event in case.events {
            match event {
                Begin(ms) => calls.begin(at(*ms)),
                End(ms) => calls.end(at(*ms)),
            }
        }
        let expected = Duration::from_millis(case.expected);
        assert_eq!(calls.waited(at(100)), expected, "{}", case.name);
    }
}
