//! Tests the calculations behind the results: recovery time, fitted lines, quantiles, spread and fleet capacity.

use std::time::Duration;

use coltsfootport_rig::cost::{Line, Point};
use coltsfootport_rig::experiment::{Deployment, Recovery, SecondStats, Spread, User};
use coltsfootport_rig::latency::Quantiles;

struct RecoveryCase {
    name: &'static str,
    /// Complete responses and p99 of each second; the first three seconds are the baseline.
    seconds: &'static [(f64, f64)],
    expected: Recovery,
}

/// First second after the trigger in every case.
const TRIGGER_END: usize = 5;

#[test]
fn recovery_is_the_first_window_as_good_as_before() {
    const BASELINE: (f64, f64) = (100.0, 10.0);
    const BAD: (f64, f64) = (20.0, 900.0);
    // Full goodput, but a p99 above twice the baseline.
    const SLOW: (f64, f64) = (100.0, 21.0);
    // Exactly at both limits: 95 % of the goodput and twice the p99.
    const AT_LIMITS: (f64, f64) = (95.0, 20.0);
    let cases = [
        RecoveryCase {
            name: "at once",
            seconds: &[
                BASELINE, BASELINE, BASELINE, BAD, BAD, AT_LIMITS, AT_LIMITS, AT_LIMITS,
            ],
            expected: Recovery::After { seconds: 0 },
        },
        RecoveryCase {
            name: "late, with one slow second among three",
            seconds: &[
                BASELINE, BASELINE, BASELINE, BAD, BAD, BAD, SLOW, SLOW, BASELINE, BASELINE,
                BASELINE,
            ],
            expected: Recovery::After { seconds: 2 },
        },
        RecoveryCase {
            name: "one good second is not enough",
            seconds: &[BASELINE, BASELINE, BASELINE, BAD, BAD, BAD, BASELINE, BAD],
            expected: Recovery::NotSeen,
        },
        RecoveryCase {
            name: "the run ends before",
            seconds: &[BASELINE, BASELINE, BASELINE, BAD, BAD, BASELINE],
            expected: Recovery::NotSeen,
        },
    ];
    for case in cases {
        let second = |(whole, p99_ms): &(f64, f64)| SecondStats {
            whole: *whole,
            p99_ms: *p99_ms,
        };
        let seconds: Vec<SecondStats> = case.seconds.iter().map(second).collect();
        let found = Recovery::of(&seconds, 0..3, TRIGGER_END);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

#[test]
fn a_line_has_the_least_squares_slope() {
    struct Case {
        points: &'static [(f64, f64)],
        slope: f64,
        intercept: f64,
    }
    let cases = [
        Case {
            points: &[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)],
            slope: 2.0,
            intercept: 1.0,
        },
        Case {
            points: &[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)],
            slope: 0.5,
            intercept: 0.5,
        },
        Case {
            points: &[(3.0, 4.0), (3.0, 6.0)],
            slope: 0.0,
            intercept: 5.0,
        },
        Case {
            points: &[],
            slope: 0.0,
            intercept: 0.0,
        },
    ];
    for case in cases {
        let points: Vec<Point> = case.points.iter().map(|&(x, y)| Point { x, y }).collect();
        let line = Line::fit(&points);
        assert!((line.slope - case.slope).abs() < 1e-9, "{line:?}");
        assert!((line.intercept - case.intercept).abs() < 1e-9, "{line:?}");
    }
}

#[test]
fn quantiles_and_spread_are_taken_by_rank() {
    let latencies = (1..=1000).rev().map(Duration::from_millis).collect();
    let quantiles = Quantiles::of(latencies);
    let found = [quantiles.p50_ms, quantiles.p99_ms, quantiles.p999_ms];
    assert_eq!(found, [500.0, 990.0, 999.0]);
    assert_eq!(Quantiles::of(Vec::new()), Quantiles::default());
    let spread = Spread::of(vec![3.0, 1.0, 2.0]);
    assert_eq!((spread.min, spread.median, spread.max), (1.0, 2.0, 3.0));
}

/// Call chains must end at the deepest service, which limits the capacity, and the calls must parse.
#[test]
fn deployments_are_scaled_to_one_machine() {
    for user in User::ALL {
        let deployment = Deployment::new(user, 1.0, 0).expect("the calls are well formed");
        assert_eq!(deployment.services.len(), 4, "{user}");
        let workers = deployment.services.iter().map(|s| s.domains.len());
        assert!((13..=14).contains(&workers.sum::<usize>()), "{user}");
        assert!((deployment.capacity - 200.0).abs() < 1e-9, "{user}");
        let deepest = deployment.target_of(deployment.deepest);
        assert!(deepest.downstream.is_empty(), "{user}");
    }
}
