//! Rate that a home grants while other nodes may have replaced it.

use std::time::{Duration, Instant};

use coltsfootport_core::workspace::{HomeQuotas, Quota, QuotaBound};

const QUOTA: Quota = Quota {
    per_second: 60.0,
    burst: 60.0,
};

/// What a node observes, and whether it is to reduce its rate.
struct Case {
    what: &'static str,
    publisher_silent_s: f64,
    nodes_silent: f64,
    replaced: bool,
}

/// Guards against two homes that both grant the same part of a quota after a partition, and against a home that
/// withholds its part although only the publisher is down.
#[test]
fn a_home_holds_back_only_while_it_may_be_cut_off_itself() {
    let case = |what, publisher_silent_s, nodes_silent, replaced| Case {
        what,
        publisher_silent_s,
        nodes_silent,
        replaced,
    };
    let cases = [
        case("all reachable", 0.0, 0.0, false),
        case("nodes lost", 0.0, 0.5, false),
        case("partitioned off, not yet replaced", 2.0, 0.5, false),
        case("partitioned off", 3.5, 0.5, true),
        case("partitioned off, few nodes reachable", 9.0, 0.95, true),
        case("nodes back, publisher still silent", 10.0, 0.0, false),
        case("partitioned off again", 11.0, 0.4, true),
        case("publisher back", 0.0, 0.0, false),
        case("publisher down for all nodes", 20.0, 0.05, false),
    ];
    let start = Instant::now();
    let mut home = HomeQuotas::new(QuotaBound::default(), start);
    for (step, case) in cases.into_iter().enumerate() {
        let now = start + Duration::from_secs(30 + step as u64);
        let silent = Duration::from_secs_f64(case.publisher_silent_s);
        home.check_replaced(silent, case.nodes_silent, now);
        assert_eq!(home.is_replaced(), case.replaced, "{}", case.what);
        let rate = home.apply_claim(&"w".into(), QUOTA, 1.0, 1.0, now).rate;
        assert_eq!(rate < 10.0, case.replaced, "{}: rate {rate}", case.what);
    }
}
