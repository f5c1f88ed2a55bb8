//! Tests of the queue before a target and of the level that follows from its load.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Admission, Backlog, GateConfig, LevelConfig, LevelControl, RequestKind, Shedder, ShedderConfig,
    SlotRequest, TargetGate, Ticket,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn waiting(rank: u8, inner: bool, now: Instant) -> SlotRequest {
    SlotRequest {
        rank,
        shed_order: usize::from(2 - rank.min(2)),
        admitted: 1.0,
        kind: RequestKind(1),
        inner,
        began: now,
        deadline: now + ms(10_000),
        queue_timeout: ms(10_000),
    }
}

fn gate(slots: u32, now: Instant) -> TargetGate {
    let cfg = GateConfig {
        slots,
        ..Default::default()
    };
    TargetGate::new(cfg, now)
}

fn ticket(entered: Admission) -> Ticket {
    match entered {
        Admission::Dispatched(ticket) | Admission::Queued(ticket) => ticket,
        Admission::Refused { .. } | Admission::DeadlineUnreachable => panic!("refused"),
    }
}

#[test]
fn urgent_ranks_go_first_and_runs_in_progress_before_new_ones() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let Admission::Dispatched(mut runs) = gate.admit(waiting(2, false, now), now) else {
        panic!("the slot is free");
    };
    let outer_low = ticket(gate.admit(waiting(2, false, now), now));
    let inner_low = ticket(gate.admit(waiting(2, true, now), now));
    let high = ticket(gate.admit(waiting(0, false, now), now));
    let mut order = Vec::new();
    for _ in 0..3 {
        gate.release(runs, ms(10), now);
        runs = gate.dispatch_next().expect("one more waits");
        order.push(runs);
        assert_eq!(gate.dispatch_next(), None, "one slot only");
    }
    assert_eq!(order, [high, inner_low, outer_low]);
}

/// Symptom: under lasting overload nearly all requests of the least urgent rank are answered late, although as many as
/// could be answered in time are admitted.
/// Sequence: each of them makes several calls in a row to the overloaded target; each call queues behind the calls of
/// requests that came later.
/// Cause: calls were ordered by their own arrival, so that all requests in progress took turns.
#[test]
fn calls_of_the_oldest_request_go_first() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let mut runs = ticket(gate.admit(waiting(2, true, now), now));
    let of_newer = ticket(gate.admit(waiting(2, true, now), now));
    let older = SlotRequest {
        began: now
            .checked_sub(ms(700))
            .expect("the clock has run for long"),
        ..waiting(2, true, now)
    };
    let of_older = ticket(gate.admit(older, now));
    let mut order = Vec::new();
    for _ in 0..2 {
        gate.release(runs, ms(10), now);
        runs = gate.dispatch_next().expect("one more waits");
        order.push(runs);
    }
    assert_eq!(order, [of_older, of_newer]);
}

#[test]
fn who_would_wait_too_long_is_refused_at_once() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let _ = ticket(gate.admit(waiting(1, false, now), now));
    for _ in 0..10 {
        let _ = ticket(gate.admit(waiting(1, false, now), now));
    }
    let short_wait = SlotRequest {
        queue_timeout: ms(200),
        ..waiting(1, false, now)
    };
    assert!(matches!(
        gate.admit(short_wait, now),
        Admission::Refused { .. }
    ));
    let urgent = SlotRequest {
        queue_timeout: ms(200),
        ..waiting(0, false, now)
    };
    assert!(
        matches!(gate.admit(urgent, now), Admission::Queued(_)),
        "nobody is ahead of it"
    );
}

#[test]
fn expired_and_cancelled_requests_take_no_slot() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let runs = ticket(gate.admit(waiting(1, false, now), now));
    let short = SlotRequest {
        deadline: now + ms(500),
        ..waiting(1, false, now)
    };
    let expiring = ticket(gate.admit(short, now));
    let cancelled = ticket(gate.admit(waiting(1, false, now), now));
    let last = ticket(gate.admit(waiting(1, false, now), now));
    assert_eq!(gate.expire(now + ms(600)), [expiring]);
    assert!(gate.cancel(cancelled));
    assert!(!gate.cancel(cancelled));
    gate.release(runs, ms(10), now);
    assert_eq!(gate.dispatch_next(), Some(last));
}

/// What a level is driven with.
#[derive(Clone, Copy)]
struct Drive {
    /// Load by order of the rank.
    loads: &'static [f64],
    admitted: f64,
    backlog: f64,
    time: Duration,
}

/// Drives a level with a load for some time, looked at every 50 ms.
fn drive(level: &mut LevelControl, now: &mut Instant, driven: Drive) {
    let slots = 10.0;
    let step = ms(50);
    for _ in 0..driven.time.as_millis() / step.as_millis() {
        for (order, load) in driven.loads.iter().enumerate() {
            level.record_arrival(order, load * slots * step.as_secs_f64(), driven.admitted);
        }
        *now += step;
        let mut backlog = Backlog::default();
        backlog.add(0, driven.backlog);
        level.update(slots, &backlog, *now);
    }
}

/// Symptom: urgent requests are shed for seconds while the target idles, and the next surge finds it again.
/// Sequence: requests are shed at their entry; what was admitted before still arrives below for a second and waits; the
/// level goes on rising through all ranks, and falls as slowly as it rose.
/// Cause: a level that integrates the wait knows nothing of the load that has already fallen.
#[test]
fn a_level_stays_within_a_rank_while_the_load_falls_behind_it() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    let surge = Drive {
        loads: &[1.7],
        admitted: 1.0,
        backlog: 0.3,
        time: ms(1500),
    };
    drive(&mut level, &mut now, surge);
    let risen = level.level();
    assert!(risen > 0.5, "a surge must show: {risen}");
    // The queue is still there, but no more arrives than can be done.
    let draining = Drive {
        loads: &[0.9],
        admitted: 0.5,
        backlog: 0.6,
        ..surge
    };
    drive(&mut level, &mut now, draining);
    assert!(level.level() < 1.0, "{}", level.level());
    let over = Drive {
        loads: &[0.4],
        admitted: 1.0,
        backlog: 0.0,
        time: ms(2500),
    };
    drive(&mut level, &mut now, over);
    assert!(level.level() < 0.2, "the target idles: {}", level.level());
}

#[test]
fn a_calm_target_has_no_level() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    let calm = Drive {
        loads: &[0.8],
        admitted: 1.0,
        backlog: 0.0,
        time: ms(20_000),
    };
    drive(&mut level, &mut now, calm);
    assert!(level.level() < 0.01, "{}", level.level());
}

#[test]
fn lasting_overload_reaches_the_next_rank() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    let overload = Drive {
        loads: &[0.5, 2.2],
        admitted: 1.0,
        backlog: 0.0,
        time: ms(20_000),
    };
    drive(&mut level, &mut now, overload);
    assert!(level.level() > 1.5, "{}", level.level());
}

/// Symptom: a service has lost half of its hosts; urgent requests are refused while less arrives than its slots can do.
/// Sequence: less urgent requests, which may wait for long, queue up; the level jumps between shedding a part of them and
/// shedding everything.
/// Cause: their queue counted against all ranks, and a queue above the target load shed ranks of which nothing comes.
#[test]
fn a_queue_of_a_rank_sheds_no_more_urgent_one() {
    let now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    level.record_arrival(0, 10.0, 1.0);
    level.record_arrival(1, 3.0, 1.0);
    let mut backlog = Backlog::default();
    backlog.add(0, 5.0);
    level.update(10.0, &backlog, now + ms(1000));
    assert_eq!(level.level(), 1.0, "the rank that waits, and no other");
    backlog.add(1, 0.9);
    level.record_arrival(0, 10.0, 1.0);
    level.record_arrival(1, 3.0, 1.0);
    level.update(10.0, &backlog, now + ms(2000));
    let level = level.level();
    assert!(
        (1.4..1.6).contains(&level),
        "half of the urgent rank: {level}"
    );
}

/// Symptom: in a long surge one host of a service has a level of 1 and the next one of 0, and a third of the capacity is
/// not used.
/// Sequence: entries shed by the mean of both; the host with a little more load goes on rising, the other one falls.
/// Cause: each took the change of its load for the answer to its own level.
#[test]
fn hosts_of_a_service_agree_about_a_surge() {
    let mut now = Instant::now();
    let mut hosts = [1.3, 1.1].map(|offered| {
        let level = LevelControl::new(LevelConfig::default(), now);
        (level, offered)
    });
    let mut share: f64 = 0.0;
    for _ in 0..400 {
        let admitted = 1.0 - share;
        now += ms(50);
        for (level, offered) in &mut hosts {
            level.record_arrival(0, *offered * admitted * 0.5, admitted);
            level.update(10.0, &Backlog::default(), now);
        }
        let mean = (hosts[0].0.level() + hosts[1].0.level()) / 2.0;
        share += 0.25 * (mean - share);
    }
    for (level, offered) in &hosts {
        let wanted = 1.0 - LevelConfig::default().target_load / offered;
        let level = level.level();
        assert!((level - wanted).abs() < 0.02, "{level} for {offered}");
    }
}

/// Symptom: prize claims run for a second and fail at their limit, three in ten of them in a surge.
/// Sequence: a call waits for a slot nearly up to its deadline, is started, and is stopped by its target soon after.
/// Cause: whatever had time left was started, although it never ends within so little.
#[test]
fn what_cannot_end_in_time_is_not_started() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    for _ in 0..100 {
        let runs = ticket(gate.admit(waiting(1, false, now), now));
        gate.release(runs, ms(400), now);
    }
    let short = SlotRequest {
        deadline: now + ms(150),
        ..waiting(1, false, now)
    };
    assert_eq!(gate.admit(short, now), Admission::DeadlineUnreachable);
    let _ = ticket(gate.admit(waiting(1, false, now), now));
    let enough = SlotRequest {
        deadline: now + ms(900),
        ..waiting(1, false, now)
    };
    let waits = ticket(gate.admit(enough, now));
    assert_eq!(gate.expire(now + ms(600)), [], "300 ms are left of 400");
    assert_eq!(gate.expire(now + ms(750)), [waits], "150 ms are left");
}

#[test]
fn a_shedder_follows_reports_and_forgets_old_ones() {
    let now = Instant::now();
    let mut shedder = Shedder::new(ShedderConfig::default(), 1, now);
    let route = "r".into();
    assert_eq!(shedder.share(&route, 0, now), 0.0);
    for _ in 0..30 {
        shedder.report(&route, 1.4, now);
    }
    assert!(shedder.share(&route, 0, now) > 0.9, "the first rank goes");
    let second = shedder.share(&route, 1, now);
    assert!(
        (0.3..0.5).contains(&second),
        "a part of the second: {second}"
    );
    assert_eq!(shedder.share(&route, 2, now), 0.0, "the third stays");
    assert_eq!(
        shedder.share(&route, 0, now + ms(6000)),
        0.0,
        "nothing new for long"
    );
}

/// Symptom: a third of the requests is to be shed, and the load stays as it was; the level rises until nearly all are.
/// Sequence: each shed caller comes back once and is judged anew; most get in at the second attempt.
/// Cause: chance decided about each attempt, not about each request.
#[test]
fn a_caller_that_comes_back_too_soon_is_shed_again() {
    struct Case {
        name: &'static str,
        level_then: f64,
        back: fn(f64) -> bool,
    }
    let cases = [
        Case {
            name: "as before",
            level_then: 0.4,
            back: |admitted| admitted < 0.01,
        },
        Case {
            name: "easing",
            level_then: 0.2,
            back: |admitted| (0.4..0.6).contains(&admitted),
        },
        Case {
            name: "over",
            level_then: 0.0,
            back: |admitted| admitted > 0.99,
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut shedder = Shedder::new(ShedderConfig::default(), 1, now);
        let route = "r".into();
        let set = |shedder: &mut Shedder, level: f64, now: Instant| {
            for _ in 0..60 {
                shedder.report(&route, level, now);
            }
        };
        set(&mut shedder, 0.4, now);
        let judge = |shedder: &Shedder, path: &str, now: Instant| {
            shedder.admit(&route, 0, "h", path, now).is_err()
        };
        let mut paths: Vec<String> = (0..2000).map(|n| format!("/p/{n}")).collect();
        paths.retain(|path| judge(&shedder, path, now));
        assert!((700..900).contains(&paths.len()), "{} of 2000", paths.len());
        now += ms(500);
        set(&mut shedder, case.level_then, now);
        let shed = paths.iter().filter(|path| judge(&shedder, path, now));
        let admitted = 1.0 - shed.count() as f64 / paths.len() as f64;
        assert!((case.back)(admitted), "{}: {admitted}", case.name);
    }
}

/// Those that are shed are others after a while, and told to come back spread over time.
#[test]
fn nobody_is_shed_for_ever() {
    let now = Instant::now();
    let mut shedder = Shedder::new(ShedderConfig::default(), 1, now);
    let route = "r".into();
    for at in [now, now + ms(60_000)] {
        for _ in 0..60 {
            shedder.report(&route, 0.5, at);
        }
    }
    let later = now + ms(60_000);
    let shed = |path: &str, at: Instant| shedder.admit(&route, 0, "h", path, at).err();
    let paths: Vec<String> = (0..1000).map(|n| format!("/p/{n}")).collect();
    let first: Vec<&String> = paths
        .iter()
        .filter(|path| shed(path, later).is_some())
        .collect();
    let again = first
        .iter()
        .filter(|path| shed(path, later + ms(9000)).is_some());
    assert!(
        again.count() * 4 < first.len() * 3,
        "half of them at most, on average"
    );
    let waits: Vec<Duration> = first
        .iter()
        .filter_map(|path| shed(path, later))
        .map(|shed| shed.retry_after)
        .collect();
    let (soonest, latest) = (waits.iter().min(), waits.iter().max());
    assert!(
        *soonest.expect("some") * 3 < *latest.expect("some") * 2,
        "{soonest:?} {latest:?}"
    );
}
