//! Tests of the admission controller, admission levels and the levels of downstream services.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use coltsfootport_core::admission::{
    Action, Admission, AdmissionConfig, AdmissionMode, CallKey, DownstreamLevels,
    DownstreamLevelsConfig, Finish, Level, Offer,
};
use coltsfootport_core::class::Class;
use coltsfootport_core::collections::Map;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::ServiceName;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A static limit of one and a queue of two.
fn one_slot() -> AdmissionConfig {
    AdmissionConfig {
        mode: AdmissionMode::Static,
        initial_limit: 1,
        queue_length: 2,
        ..AdmissionConfig::default()
    }
}

fn offer(class: u8, bucket: u8, deadline: Instant) -> Offer {
    Offer {
        class: Class(class),
        bucket,
        deadline,
    }
}

fn poll(admission: &mut Admission, now: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    admission.poll(now, &mut actions);
    actions
}

/// Serves calls sequentially until the service time estimate has converged, and returns the time after the last one.
fn learn_service_time(admission: &mut Admission, service: Duration, mut now: Instant) -> Instant {
    for _ in 0..60 {
        let key = admission.offer(offer(0, 0, now + ms(60_000)), now);
        now += service;
        admission.finish(key, Finish::Served, now);
        poll(admission, now);
    }
    now
}

#[test]
fn a_full_queue_sheds_the_lowest_class_then_the_highest_bucket() {
    struct Case {
        name: &'static str,
        queued: [(u8, u8); 2],
        arrives: (u8, u8),
        /// Index of the shed call; 2 is the arriving one.
        shed: usize,
    }
    let cases = [
        Case {
            name: "lower arrives",
            queued: [(0, 9), (0, 9)],
            arrives: (1, 0),
            shed: 2,
        },
        Case {
            name: "higher arrives",
            queued: [(0, 9), (2, 0)],
            arrives: (1, 200),
            shed: 1,
        },
        Case {
            name: "higher bucket queued",
            queued: [(1, 9), (1, 5)],
            arrives: (1, 7),
            shed: 0,
        },
        Case {
            name: "higher bucket arrives",
            queued: [(1, 9), (1, 5)],
            arrives: (1, 10),
            shed: 2,
        },
        Case {
            name: "all equal, oldest is shed",
            queued: [(1, 5), (1, 5)],
            arrives: (1, 5),
            shed: 0,
        },
    ];
    for Case {
        name,
        queued,
        arrives,
        shed,
    } in cases
    {
        let now = Instant::now();
        let mut admission = Admission::new(one_slot(), now);
        let running = admission.offer(offer(7, 255, now + ms(1000)), now);
        let calls = [queued[0], queued[1], arrives];
        let keys = calls.map(|(class, b)| admission.offer(offer(class, b, now + ms(1000)), now));
        let expected = [
            Action::Start(running),
            Action::Refuse(keys[shed], ErrorKind::Shed),
        ];
        assert_eq!(poll(&mut admission, now), expected, "{name}");
        assert_eq!(
            (admission.queued(), admission.in_flight()),
            (2, 1),
            "{name}"
        );
    }
}

#[test]
fn the_highest_class_starts_first() {
    let now = Instant::now();
    let mut admission = Admission::new(one_slot(), now);
    let running = admission.offer(offer(0, 0, now + ms(1000)), now);
    let low = admission.offer(offer(3, 0, now + ms(1000)), now);
    let high = admission.offer(offer(0, 255, now + ms(1000)), now);
    admission.finish(running, Finish::Served, now + ms(1));
    admission.finish(high, Finish::Failed, now + ms(2));
    admission.cancel(low, now + ms(3));
    assert_eq!(
        poll(&mut admission, now + ms(3)),
        [],
        "ended before they were started"
    );
    assert_eq!((admission.queued(), admission.in_flight()), (0, 0));
    let counters = admission.counters(Class(0));
    assert_eq!(
        (counters.offered, counters.served, counters.failed),
        (2, 1, 1)
    );
    assert_eq!(admission.counters(Class(3)).cancelled, 1);
}

#[test]
fn calls_that_cannot_finish_are_refused_before_they_start() {
    struct Case {
        name: &'static str,
        check: bool,
        busy: bool,
        left: Duration,
        refused: bool,
    }
    let cases = [
        Case {
            name: "enough",
            check: true,
            busy: false,
            left: ms(25),
            refused: false,
        },
        Case {
            name: "below the service time",
            check: true,
            busy: false,
            left: ms(15),
            refused: true,
        },
        Case {
            name: "enough for service, not for the wait",
            check: true,
            busy: true,
            left: ms(25),
            refused: true,
        },
        Case {
            name: "enough for both",
            check: true,
            busy: true,
            left: ms(45),
            refused: false,
        },
        Case {
            name: "nothing left",
            check: true,
            busy: false,
            left: ms(0),
            refused: true,
        },
        Case {
            name: "switched off",
            check: false,
            busy: true,
            left: ms(1),
            refused: false,
        },
    ];
    for Case {
        name,
        check,
        busy,
        left,
        refused,
    } in cases
    {
        let mut admission = Admission::new(
            AdmissionConfig {
                deadline_check: check,
                ..one_slot()
            },
            Instant::now(),
        );
        let now = learn_service_time(&mut admission, ms(20), Instant::now());
        if busy {
            admission.offer(offer(0, 0, now + ms(1000)), now);
        }
        let key = admission.offer(offer(0, 0, now + left), now);
        let refusal = Action::Refuse(key, ErrorKind::DeadlineTooShort);
        assert_eq!(
            poll(&mut admission, now).contains(&refusal),
            refused,
            "{name}"
        );
    }
}

/// A call is queued with enough time left, but a slow running call reduces that to less than the service time. If the
/// time left is only checked on arrival, the call is refused no earlier than at its deadline.
#[test]
fn a_waiting_call_is_refused_as_soon_as_it_cannot_finish() {
    let mut admission = Admission::new(one_slot(), Instant::now());
    let now = learn_service_time(&mut admission, ms(20), Instant::now());
    admission.offer(offer(0, 0, now + ms(1000)), now);
    let key = admission.offer(offer(0, 0, now + ms(50)), now);
    poll(&mut admission, now);
    let wakeup = admission.next_wakeup().expect("a call is queued");
    assert!(wakeup <= now + ms(30), "wakes up before the call expires");
    assert_eq!(poll(&mut admission, now + ms(29)), []);
    let refusal = Action::Refuse(key, ErrorKind::DeadlineTooShort);
    assert_eq!(poll(&mut admission, now + ms(30)), [refusal]);
}

/// After a period of 2 s per call, the estimate exceeds the 250 ms that callers wait. If it never decays, every call is
/// refused, none finishes to lower the estimate, and an idle target receives no calls.
#[test]
fn a_slow_spell_does_not_lock_calls_out() {
    let mut admission = Admission::new(one_slot(), Instant::now());
    let now = learn_service_time(&mut admission, ms(2000), Instant::now());
    assert_eq!(admission.service_time(now), ms(2000));
    let key = admission.offer(offer(0, 0, now + ms(250)), now);
    assert_eq!(
        poll(&mut admission, now),
        [Action::Refuse(key, ErrorKind::DeadlineTooShort)]
    );
    let later = now + ms(4000);
    let key = admission.offer(offer(0, 0, later + ms(250)), later);
    assert_eq!(poll(&mut admission, later), [Action::Start(key)]);
}

/// The limit exceeds the slots of a target that sheds load by itself. If each early failure frees its slot immediately,
/// queued calls are started and failed one after the other until the queue is empty, including those of the highest
/// class while lower ones run.
#[test]
fn a_slot_is_held_after_an_early_failure() {
    let mut admission = Admission::new(one_slot(), Instant::now());
    let now = learn_service_time(&mut admission, ms(20), Instant::now());
    let first = admission.offer(offer(0, 0, now + ms(1000)), now);
    let second = admission.offer(offer(0, 0, now + ms(1000)), now);
    assert_eq!(poll(&mut admission, now), [Action::Start(first)]);
    admission.finish(first, Finish::Failed, now + ms(1));
    assert_eq!((admission.in_flight(), admission.held()), (0, 1));
    assert_eq!(poll(&mut admission, now + ms(19)), []);
    assert_eq!(admission.next_wakeup(), Some(now + ms(20)));
    assert_eq!(poll(&mut admission, now + ms(20)), [Action::Start(second)]);
    admission.finish(second, Finish::Failed, now + ms(45));
    assert_eq!(
        admission.held(),
        0,
        "the slot of a late failure is not held"
    );
}

#[test]
fn modes_set_the_limit() {
    let cold = |cfg: AdmissionConfig| AdmissionConfig {
        initial_limit: 100,
        cold_start: ms(1000),
        cold_share: 0.2,
        ..cfg
    };
    let base = AdmissionConfig::default();
    let fixed = AdmissionConfig {
        mode: AdmissionMode::Static,
        ..base.clone()
    };
    let off = AdmissionConfig {
        mode: AdmissionMode::Off,
        ..base.clone()
    };
    let cases = [
        (off, [u32::MAX; 3]),
        (fixed, [100; 3]),
        (
            // `min_limit` applies to a warm target; the limit of a cold one is a fraction of it.
            AdmissionConfig {
                initial_limit: 50,
                min_limit: 100,
                ..base.clone()
            },
            [20, 60, 100],
        ),
        (base, [20, 60, 100]),
    ];
    for (cfg, limits) in cases {
        let now = Instant::now();
        let mut admission = Admission::new(cold(cfg), now);
        for (millis, limit) in [0, 500, 1000].into_iter().zip(limits) {
            poll(&mut admission, now + ms(millis));
            assert_eq!(admission.limit(), limit, "{millis} ms after the start");
        }
        admission.restarted(now + ms(5000));
        poll(&mut admission, now + ms(5000));
        assert_eq!(admission.limit(), limits[0], "cold again");
    }
}

/// A surge lowers the level, then few or no calls arrive. If the level is only adjusted on arrivals, entries keep
/// shedding long after the surge.
#[test]
fn the_level_falls_under_a_standing_queue_and_opens_again() {
    for idle in [false, true] {
        let mut now = Instant::now();
        let mut admission = Admission::new(one_slot(), now);
        let mut running = admission.offer(offer(0, 0, now + ms(60_000)), now);
        for n in 0..100u8 {
            for class in 0..4 {
                admission.offer(offer(class, n.wrapping_mul(67), now + ms(60_000)), now);
            }
            now += ms(10);
            admission.finish(running, Finish::Served, now);
            for action in poll(&mut admission, now) {
                if let Action::Start(key) = action {
                    running = key;
                }
            }
        }
        assert!(
            admission.level()
                < Level {
                    class: Class(1),
                    bucket: 255
                },
            "the surge lowers the level"
        );
        let mut windows = 0;
        if idle {
            while admission.queued() + admission.in_flight() as usize > 0 {
                admission.finish(running, Finish::Served, now);
                for action in poll(&mut admission, now) {
                    if let Action::Start(key) = action {
                        running = key;
                    }
                }
            }
            now += ms(10_000);
            poll(&mut admission, now);
        }
        while admission.level() < Level::OPEN && windows < 40 {
            now = admission
                .next_wakeup()
                .expect("the level is not open yet")
                .max(now);
            admission.finish(running, Finish::Served, now);
            for action in poll(&mut admission, now) {
                if let Action::Start(key) = action {
                    running = key;
                }
            }
            windows += 1;
        }
        assert_eq!(
            admission.level(),
            Level::OPEN,
            "idle: {idle}, after {windows} windows"
        );
        admission.finish(running, Finish::Served, now);
        assert_eq!(admission.next_wakeup(), None, "no further wakeup");
    }
}

#[test]
fn levels_order_classes_before_buckets() {
    for position in 1..=2048 {
        let level = Level::from_position(position);
        assert_eq!(level.position(), position);
        assert!(level.admits(level.class, level.bucket));
        let next = Level::from_position(position + 1);
        assert_eq!(next > level, position < 2048);
        assert_eq!(level.admits(next.class, next.bucket), next == level);
    }
    assert_eq!(
        (Level::from_position(0), Level::from_position(u16::MAX)),
        (Level::FLOOR, Level::OPEN)
    );
    assert!(
        Level::OPEN.admits(Class(200), 255),
        "classes past the lowest count as the lowest"
    );
    let level = Level {
        class: Class(2),
        bucket: 127,
    };
    assert_eq!(
        [1, 2, 3].map(|class| level.share_of(Class(class))),
        [1.0, 0.5, 0.0]
    );
}

/// An entry that receives a low level sheds every call to the service and gets no answers with a newer level. If levels
/// don't age, it keeps refusing calls after the service has recovered.
#[test]
fn heard_levels_age_out() {
    let now = Instant::now();
    let cfg = DownstreamLevelsConfig {
        hold: ms(1000),
        rise: ms(4000),
        weight: 0.5,
    };
    let mut levels = DownstreamLevels::new(cfg);
    let [archive, orders] = ["archive", "orders"].map(ServiceName::from);
    levels.record(&archive, Level::FLOOR, now);
    let lowest = Class::LOWEST;
    assert!(
        !levels.admits(&archive, Class(0), 1, now + ms(999)),
        "unchanged during `hold`"
    );
    assert!(
        levels.admits(&archive, Class(0), 0, now),
        "one bucket is always admitted"
    );
    assert!(
        levels.admits(&orders, lowest, 255, now),
        "another service isn't affected"
    );
    assert!(
        levels.admits(&archive, Class(3), 0, now + ms(3000)),
        "half way up"
    );
    assert!(
        !levels.admits(&archive, lowest, 0, now + ms(3000)),
        "half way up"
    );
    assert!(levels.admits(&archive, lowest, 255, now + ms(5000)), "open");
    assert_eq!(
        (levels.lowest(now), levels.lowest(now + ms(5000))),
        (Level::FLOOR, Level::OPEN)
    );
    levels.record(&archive, Level::OPEN, now);
    let half = Level::from_position(1025);
    assert_eq!(
        levels.level(&archive, now),
        half,
        "one of two instances is overloaded"
    );
    for _ in 0..16 {
        levels.record(&archive, Level::OPEN, now);
    }
    assert_eq!(levels.level(&archive, now), Level::OPEN);
    levels.record(&archive, Level::FLOOR, now);
    levels.expire(now + ms(5000));
    assert_eq!(levels.level(&archive, now), Level::OPEN, "expired");
}

#[derive(Clone, Debug)]
enum Step {
    Offer { class: u8, bucket: u8, left: u16 },
    End { nth: usize, finish: Finish },
    Cancel { nth: usize },
    Wait { millis: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    let finish = prop_oneof![
        4 => Just(Finish::Served),
        1 => Just(Finish::Failed),
        1 => Just(Finish::Cancelled),
    ];
    prop_oneof![
        6 => (0..10u8, any::<u8>(), 0..400u16)
            .prop_map(|(class, bucket, left)| Step::Offer { class, bucket, left }),
        4 => (0..64usize, finish).prop_map(|(nth, finish)| Step::End { nth, finish }),
        1 => (0..64usize).prop_map(|nth| Step::Cancel { nth }),
        3 => (0..60u16).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// State of a call as expected by the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Waiting(u8),
    Running,
}

#[test]
fn any_sequence_keeps_the_bounds_and_ends_each_call_once() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let modes = prop_oneof![
        Just(AdmissionMode::Off),
        Just(AdmissionMode::Static),
        Just(AdmissionMode::Adaptive)
    ];
    let strategy = (
        modes,
        0..5usize,
        any::<bool>(),
        prop::collection::vec(step(), 0..400),
    );
    let run = |(mode, queue_length, level_shedding, steps): (_, usize, bool, Vec<Step>)| {
        let cfg = AdmissionConfig {
            mode,
            initial_limit: 3,
            queue_length,
            level_shedding,
            ..AdmissionConfig::default()
        };
        check_steps(cfg, steps)
    };
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, run)
        .unwrap();
}

fn check_steps(cfg: AdmissionConfig, steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut now = Instant::now();
    let mut admission = Admission::new(cfg.clone(), now);
    let mut calls: Map<CallKey, CallState> = Map::default();
    let mut order: Vec<CallKey> = Vec::new();
    for step in steps {
        match step {
            Step::Offer {
                class,
                bucket,
                left,
            } => {
                let deadline = now + ms(left.into());
                let key = admission.offer(offer(class, bucket, deadline), now);
                prop_assert_eq!(calls.insert(key, CallState::Waiting(class.min(7))), None);
                order.push(key);
            }
            Step::End { nth, finish } if nth < order.len() => {
                let key = order.remove(nth);
                admission.finish(key, finish, now);
                calls.remove(&key);
            }
            Step::Cancel { nth } if nth < order.len() => {
                let key = order.remove(nth);
                admission.cancel(key, now);
                calls.remove(&key);
            }
            Step::End { .. } | Step::Cancel { .. } => {}
            Step::Wait { millis } => now += ms(millis.into()),
        }
        for action in poll(&mut admission, now) {
            check_action(action, &mut calls, &mut order)?;
        }
        let running = calls
            .values()
            .filter(|call| **call == CallState::Running)
            .count();
        prop_assert_eq!(running, admission.in_flight() as usize);
        prop_assert_eq!(calls.len() - running, admission.queued());
        prop_assert_eq!(admission.check(), Ok(()));
        prop_assert!(admission.queued() <= cfg.queue_length);
        let idle = admission.in_flight() + (admission.held() as u32) < admission.limit();
        prop_assert!(
            !idle || admission.queued() == 0,
            "a call is queued while a slot is free"
        );
        prop_assert!(admission.queued() == 0 || admission.next_wakeup().is_some());
        prop_assert!(cfg.level_shedding || admission.level() == Level::OPEN);
    }
    Ok(())
}

fn check_action(
    action: Action,
    calls: &mut Map<CallKey, CallState>,
    order: &mut Vec<CallKey>,
) -> Result<(), TestCaseError> {
    match action {
        Action::Start(key) => {
            let Some(CallState::Waiting(class)) = calls.insert(key, CallState::Running) else {
                return Err(TestCaseError::fail("call started twice or after its end"));
            };
            let higher = calls
                .values()
                .any(|call| matches!(call, CallState::Waiting(c) if *c < class));
            // All calls of a higher class must have been started by the same poll.
            prop_assert!(!higher, "a call started before one of a higher class");
        }
        Action::Refuse(key, kind) => {
            let refusal = matches!(kind, ErrorKind::Shed | ErrorKind::DeadlineTooShort);
            prop_assert!(refusal);
            // The caller may already have cancelled the call.
            calls.remove(&key);
            order.retain(|other| *other != key);
        }
    }
    Ok(())
}
