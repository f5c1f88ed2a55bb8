//! Tests of the retry allowance, the edge budget, the retry policy, the backoff and the retry-after time.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use coltsfootport_core::admission::Level;
use coltsfootport_core::allowance::{
    Allowance, Backoff, EdgeBudget, EdgeBudgetConfig, RetryAfterConfig, RetryPolicy, TargetState,
    retry_after,
};
use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::outcome::Outcome;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

/// Probabilities of events in a call graph, per mille.
#[derive(Clone, Copy, Debug)]
struct Probabilities {
    /// The hop fails after its own calls.
    fails: u32,
    /// The answer of an attempt is lost in transit.
    lost: u32,
    /// A call makes three parallel downstream calls instead of one.
    fans_out: u32,
}

/// A random call graph, traversed with the rules that nodes apply.
struct Graph {
    probabilities: Probabilities,
    rng: SmallRng,
    retries: u32,
    /// Remaining calls; limits the size of one traversal.
    budget: u32,
}

impl Graph {
    fn random_bool(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    /// Runs one call at a hop. Returns whether it succeeded and its unused retries.
    fn call(&mut self, depth: u32, granted: u16) -> (bool, u16) {
        let mut allowance = Allowance::new(granted);
        let fan_out = if self.random_bool(self.probabilities.fans_out) {
            3
        } else {
            1
        };
        // All parallel calls get their grants before the first answer arrives.
        let first = if depth == 0 { 0 } else { fan_out };
        let grants: Vec<u16> = (0..first).map(|_| allowance.grant()).collect();
        let mut served = true;
        for grant in grants {
            served &= self.attempts(depth, &mut allowance, grant);
        }
        let fails = self.random_bool(self.probabilities.fails);
        (served && !fails, allowance.left())
    }

    /// Makes one downstream call, including its retries.
    fn attempts(&mut self, depth: u32, allowance: &mut Allowance, mut grant: u16) -> bool {
        loop {
            if self.budget == 0 {
                return false;
            }
            self.budget -= 1;
            let (served, left) = self.call(depth - 1, grant);
            let lost = self.random_bool(self.probabilities.lost);
            if !lost {
                assert_eq!(allowance.reclaim(grant, left), Ok(()));
            }
            if served && !lost {
                return true;
            }
            if !allowance.spend() {
                return false;
            }
            self.retries += 1;
            grant = allowance.grant();
        }
    }
}

/// Call graphs up to 13 deep and three wide, with failures at any hop and answers lost with their unused retries. An
/// allowance copied to each call, or both returned and kept, would turn one request into dozens of calls downstream.
#[test]
fn retries_stay_within_the_allowance_of_the_request() {
    let probabilities =
        (0..700u32, 0..500u32, 0..300u32).prop_map(|(fails, lost, fans_out)| Probabilities {
            fails,
            lost,
            fans_out,
        });
    let strategy = (probabilities, 0..20u16, 1..=13u32, any::<u64>());
    let run = |(probabilities, max, depth, seed)| {
        let rng = SmallRng::seed_from_u64(seed);
        let mut graph = Graph {
            probabilities,
            rng,
            retries: 0,
            budget: 5000,
        };
        let (_, left) = graph.call(depth, max);
        prop_assert!(graph.retries + u32::from(left) <= u32::from(max));
        if probabilities.lost == 0 {
            prop_assert_eq!(
                graph.retries + u32::from(left),
                u32::from(max),
                "no retry is lost"
            );
        }
        Ok(())
    };
    runner(2000).run(&strategy, run).unwrap();
}

#[test]
fn an_allowance_is_moved() {
    struct Case {
        max: u16,
        granted: [u16; 3],
        left: u16,
    }
    let cases = [
        Case {
            max: 0,
            granted: [0, 0, 0],
            left: 0,
        },
        Case {
            max: 1,
            granted: [1, 0, 0],
            left: 0,
        },
        Case {
            max: 3,
            granted: [3, 0, 0],
            left: 0,
        },
        Case {
            max: 4,
            granted: [3, 1, 0],
            left: 0,
        },
        Case {
            max: 8,
            granted: [6, 2, 0],
            left: 0,
        },
        Case {
            max: 100,
            granted: [75, 19, 5],
            left: 1,
        },
    ];
    for Case { max, granted, left } in cases {
        let mut allowance = Allowance::new(max);
        assert_eq!([(); 3].map(|()| allowance.grant()), granted, "of {max}");
        assert_eq!(allowance.left(), left);
        let spent = (0..max).filter(|_| allowance.spend()).count();
        assert_eq!(
            spent,
            usize::from(left),
            "granted retries can't be spent by the holder"
        );
    }
}

/// A peer returns more retries than it was granted, because of a defect or a forged answer. If the number were accepted
/// unchecked, a request could make more retries than its document allows.
#[test]
fn more_than_granted_is_clamped_and_reported() {
    let mut allowance = Allowance::new(3);
    let granted = allowance.grant();
    assert_eq!(
        allowance.reclaim(granted, granted + 1),
        Err(Invariant::AllowanceGrew)
    );
    assert_eq!(allowance.left(), 3);
    assert_eq!(
        allowance.reclaim(0, u16::MAX),
        Err(Invariant::AllowanceGrew)
    );
    assert_eq!(allowance.left(), 3);
}

/// A service fails for all requests, each of which still has its allowance. With limits per request only, the failing
/// service would receive a multiple of its load.
#[test]
fn an_edge_retries_a_share_of_its_successes() {
    struct Case {
        successes: u32,
        tries: u32,
        after: Duration,
        spent: u32,
    }
    let cases = [
        Case {
            successes: 0,
            tries: 100,
            after: ms(0),
            spent: 10,
        },
        Case {
            successes: 100,
            tries: 100,
            after: ms(0),
            spent: 10,
        },
        Case {
            successes: 0,
            tries: 100,
            after: ms(2500),
            spent: 2,
        },
        Case {
            successes: 42,
            tries: 100,
            after: ms(2500),
            spent: 4,
        },
        Case {
            successes: 1000,
            tries: 5,
            after: ms(2500),
            spent: 5,
        },
        Case {
            successes: 0,
            tries: 100,
            after: ms(2500),
            spent: 5,
        },
    ];
    let mut now = Instant::now();
    let cfg = EdgeBudgetConfig {
        ratio: 0.1,
        burst: 10.0,
        idle_interval: ms(1_000_000),
    };
    let mut budget = EdgeBudget::new(cfg.clone(), now);
    let spend = |budget: &mut EdgeBudget, tries: u32, now| {
        (0..tries).filter(|_| budget.try_spend(now)).count()
    };
    for (n, case) in cases.iter().enumerate() {
        if n == 2 {
            budget = EdgeBudget::new(
                EdgeBudgetConfig {
                    burst: 2.0,
                    ..cfg.clone()
                },
                now,
            );
        }
        if n == 3 {
            budget = EdgeBudget::new(cfg.clone(), now);
            spend(&mut budget, 100, now);
        }
        now += case.after;
        (0..case.successes).for_each(|_| budget.success());
        assert_eq!(
            spend(&mut budget, case.tries, now),
            case.spent as usize,
            "case {n}"
        );
    }
    let idle = EdgeBudgetConfig {
        idle_interval: ms(1000),
        ..cfg
    };
    let mut budget = EdgeBudget::new(idle, now);
    spend(&mut budget, 100, now);
    assert_eq!(
        spend(&mut budget, 100, now + ms(3100)),
        3,
        "an edge without successes may try again"
    );
    assert_eq!(
        spend(&mut budget, 100, now),
        0,
        "a clock that goes back adds nothing"
    );
}

#[test]
fn only_the_hop_next_to_the_failure_retries_and_never_a_second_run() {
    let policy = RetryPolicy::default();
    for kind in ErrorKind::ALL {
        let rule = kind.rule();
        for idempotent in [false, true] {
            assert!(
                !policy.may_retry(kind, idempotent, true),
                "{kind:?} marked final"
            );
            assert!(!RetryPolicy { enabled: false }.may_retry(kind, idempotent, false));
            let safe = rule.outcome == Outcome::NotRun || idempotent;
            let allowed = policy.may_retry(kind, idempotent, false);
            assert_eq!(
                allowed,
                rule.hop_may_retry && safe,
                "{kind:?}, idempotent: {idempotent}"
            );
        }
    }
    assert!(policy.may_retry(ErrorKind::Shed, false, false));
    assert!(policy.may_retry(ErrorKind::AnswerLost, true, false));
    assert!(
        !policy.may_retry(ErrorKind::AnswerLost, false, false),
        "it may have run"
    );
    assert!(
        !policy.may_retry(ErrorKind::HomeLost, true, false),
        "only its home knows the outcome"
    );
}

#[test]
fn backoff_doubles_up_to_its_bound_with_full_jitter() {
    let backoff = Backoff {
        first: ms(10),
        max: ms(60),
    };
    let mut rng = SmallRng::seed_from_u64(3);
    for (retry, upper) in [(0, 10), (1, 20), (2, 40), (3, 60), (u16::MAX, 60)] {
        let delays: Vec<_> = (0..400).map(|_| backoff.delay(retry, &mut rng)).collect();
        let (low, high) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
        assert!(
            *high <= ms(upper) && *high > ms(upper * 9 / 10),
            "retry {retry}: {high:?}"
        );
        assert!(*low < ms(upper / 10), "retry {retry}: {low:?}");
    }
}

/// Calls are shed during an overload. With a constant retry-after time, independent of the target's state and without
/// jitter, the refused callers would return all at once or be refused again.
#[test]
fn the_time_to_come_back_follows_the_state_and_is_jittered() {
    struct Case {
        name: &'static str,
        level: Level,
        queued: usize,
        class: u8,
        expected: Duration,
    }
    let half = Level::from_position(1024);
    let cases = [
        Case {
            name: "nothing wrong",
            level: Level::OPEN,
            queued: 0,
            class: 7,
            expected: ms(100),
        },
        Case {
            name: "queue",
            level: Level::OPEN,
            queued: 80,
            class: 0,
            expected: ms(400),
        },
        Case {
            name: "lowest class",
            level: half,
            queued: 0,
            class: 7,
            expected: ms(1000),
        },
        Case {
            name: "class 4",
            level: half,
            queued: 0,
            class: 4,
            expected: ms(250),
        },
        Case {
            name: "admitted class",
            level: half,
            queued: 0,
            class: 3,
            expected: ms(100),
        },
        Case {
            name: "both",
            level: half,
            queued: 80,
            class: 7,
            expected: ms(1400),
        },
        Case {
            name: "bound",
            level: half,
            queued: 80_000,
            class: 7,
            expected: ms(10_000),
        },
    ];
    let cfg = RetryAfterConfig::default();
    let mut rng = SmallRng::seed_from_u64(5);
    for Case {
        name,
        level,
        queued,
        class,
        expected,
    } in cases
    {
        let target = TargetState {
            level,
            queued,
            limit: 20,
            service_time: ms(100),
        };
        let times = |_| retry_after(&cfg, &target, Class(class), &mut rng);
        let mut times: Vec<_> = (0..200).map(times).collect();
        times.sort();
        assert!(
            times[0] >= expected && times[199] <= expected * 2,
            "{name}: {:?}",
            times[0]
        );
        assert!(
            times[199] - times[0] > expected * 9 / 10,
            "{name}: jitter of up to 100 %"
        );
        times.dedup();
        assert!(times.len() > 190, "{name}: times are distinct");
    }
}
