//! Arithmetic of the experiments: recovery time, slopes, quantiles and spread.

use std::time::Duration;

use coltsfootport_rig::cost::{Line, Point};
use coltsfootport_rig::experiment::{Deployment, Recovery, Second, Spread, User};
use coltsfootport_rig::latency::Quantiles;

struct RecoveryCase {
    name: &'static str,
    /// Whole answers and p99 by second, the first three before the trigger.
    seconds: &'static [(f64, f64)],
    expected: Recovery,
}

/// First second after the trigger in every case.
const END: usize = 5;

#[test]
fn recovery_is_the_first_window_as_good_as_before() {
    const USUAL: (f64, f64) = (100.0, 10.0);
    const BAD: (f64, f64) = (20.0, 900.0);
    // Full goodput, but answers still come too late.
    const SLOW: (f64, f64) = (100.0, 21.0);
    // Within 95 % and twice the p99.
    const NEARLY: (f64, f64) = (95.0, 20.0);
    let cases = [
        RecoveryCase {
            name: "at once",
            seconds: &[USUAL, USUAL, USUAL, BAD, BAD, NEARLY, NEARLY, NEARLY],
            expected: Recovery::After { seconds: 0 },
        },
        RecoveryCase {
            name: "late, with one slow second among three",
            seconds: &[
                USUAL, USUAL, USUAL, BAD, BAD, BAD, SLOW, SLOW, USUAL, USUAL, USUAL,
            ],
            expected: Recovery::After { seconds: 2 },
        },
        RecoveryCase {
            name: "one good second is not enough",
            seconds: &[USUAL, USUAL, USUAL, BAD, BAD, BAD, USUAL, BAD],
            expected: Recovery::NotSeen,
        },
        RecoveryCase {
            name: "the run ends before",
            seconds: &[USUAL, USUAL, USUAL, BAD, BAD, USUAL],
            expected: Recovery::NotSeen,
        },
    ];
    for case in cases {
        let second = |(whole, p99_ms): &(f64, f64)| Second {
            whole: *whole,
            p99_ms: *p99_ms,
        };
        let seconds: Vec<Second> = case.seconds.iter().map(second).collect();
        let found = Recovery::of(&seconds, 0..3, END);
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
        let line = Line::through(&points);
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

/// The chains end at the service that limits them, and the documents of the examples cover the calls.
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
