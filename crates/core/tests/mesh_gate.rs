//! Tests of the queue in front of a target, of its overload level and of load shedding at entries.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Admission, Backlog, GateConfig, LevelConfig, LevelControl, RequestKind, Shedder, ShedderConfig,
    SlotRequest, TargetGate, Ticket,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn request(rank: u8, inner: bool, now: Instant) -> SlotRequest {
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

fn ticket(admission: Admission) -> Ticket {
    match admission {
        Admission::Dispatched(ticket) | Admission::Queued(ticket) => ticket,
        Admission::Refused { .. } | Admission::DeadlineUnreachable => {
            panic!("refused: {admission:?}")
        }
    }
}

#[test]
fn queue_is_ordered_by_rank_and_then_calls_of_running_requests_first() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let Admission::Dispatched(mut running) = gate.admit(request(2, false, now), now) else {
        panic!("the slot is free");
    };
    let outer_low = ticket(gate.admit(request(2, false, now), now));
    let inner_low = ticket(gate.admit(request(2, true, now), now));
    let high = ticket(gate.admit(request(0, false, now), now));
    let mut order = Vec::new();
    for _ in 0..3 {
        gate.release(running, ms(10), now);
        running = gate.dispatch_next().expect("a queued request");
        order.push(running);
        assert_eq!(gate.dispatch_next(), None, "only one slot");
    }
    assert_eq!(order, [high, inner_low, outer_low]);
}

/// Guards against ordering calls by their own arrival. Requests that make several calls in sequence to an overloaded
/// target then take turns, and nearly all requests of the least urgent rank are answered late although only as many are
/// admitted as could be answered in time.
#[test]
fn calls_of_the_oldest_request_are_dispatched_first() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let mut running = ticket(gate.admit(request(2, true, now), now));
    let call_of_newer = ticket(gate.admit(request(2, true, now), now));
    let older = SlotRequest {
        began: now
            .checked_sub(ms(700))
            .expect("monotonic clock is at least 700 ms old"),
        ..request(2, true, now)
    };
    let call_of_older = ticket(gate.admit(older, now));
    let mut order = Vec::new();
    for _ in 0..2 {
        gate.release(running, ms(10), now);
        running = gate.dispatch_next().expect("a queued request");
        order.push(running);
    }
    assert_eq!(order, [call_of_older, call_of_newer]);
}

#[test]
fn expected_wait_above_the_queue_timeout_is_refused() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let _ = ticket(gate.admit(request(1, false, now), now));
    for _ in 0..10 {
        let _ = ticket(gate.admit(request(1, false, now), now));
    }
    let impatient = SlotRequest {
        queue_timeout: ms(200),
        ..request(1, false, now)
    };
    assert!(matches!(
        gate.admit(impatient, now),
        Admission::Refused { .. }
    ));
    let urgent = SlotRequest {
        queue_timeout: ms(200),
        ..request(0, false, now)
    };
    assert!(
        matches!(gate.admit(urgent, now), Admission::Queued(_)),
        "no request of its rank is queued"
    );
}

#[test]
fn expired_and_cancelled_requests_take_no_slot() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let running = ticket(gate.admit(request(1, false, now), now));
    let short = SlotRequest {
        deadline: now + ms(500),
        ..request(1, false, now)
    };
    let expiring = ticket(gate.admit(short, now));
    let cancelled = ticket(gate.admit(request(1, false, now), now));
    let last = ticket(gate.admit(request(1, false, now), now));
    assert_eq!(gate.expire(now + ms(600)), [expiring]);
    assert!(gate.cancel(cancelled));
    assert!(!gate.cancel(cancelled));
    gate.release(running, ms(10), now);
    assert_eq!(gate.dispatch_next(), Some(last));
}

/// Constant load applied to a level.
#[derive(Clone, Copy)]
struct Load {
    /// Load by shed order.
    by_shed_order: &'static [f64],
    admitted: f64,
    backlog: f64,
    time: Duration,
}

/// Applies a load to a level, which is updated every 50 ms.
fn apply(level: &mut LevelControl, now: &mut Instant, load: Load) {
    let slots = 10.0;
    let step = ms(50);
    for _ in 0..load.time.as_millis() / step.as_millis() {
        for (shed_order, offered) in load.by_shed_order.iter().enumerate() {
            let work = offered * slots * step.as_secs_f64();
            level.record_arrival(shed_order, work, load.admitted);
        }
        *now += step;
        let mut backlog = Backlog::default();
        backlog.add(0, load.backlog);
        level.update(slots, &backlog, *now);
    }
}

/// Guards against a level that integrates the wait. It ignores that the load has already fallen, rises through all
/// ranks while requests admitted before still arrive and queue, and falls as slowly as it rose: urgent requests are
/// shed for seconds while the target is idle, and again in the next surge.
#[test]
fn level_does_not_overshoot_while_a_queue_drains() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    let surge = Load {
        by_shed_order: &[1.7],
        admitted: 1.0,
        backlog: 0.3,
        time: ms(1500),
    };
    apply(&mut level, &mut now, surge);
    let risen = level.level();
    assert!(risen > 0.5, "the level must rise in a surge: {risen}");
    // The queue persists, but the arrivals are below the capacity.
    let draining = Load {
        by_shed_order: &[0.9],
        admitted: 0.5,
        backlog: 0.6,
        ..surge
    };
    apply(&mut level, &mut now, draining);
    assert!(level.level() < 1.0, "{}", level.level());
    let over = Load {
        by_shed_order: &[0.4],
        admitted: 1.0,
        backlog: 0.0,
        time: ms(2500),
    };
    apply(&mut level, &mut now, over);
    assert!(
        level.level() < 0.2,
        "the target is nearly idle: {}",
        level.level()
    );
}

#[test]
fn level_is_zero_without_overload() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    let light = Load {
        by_shed_order: &[0.8],
        admitted: 1.0,
        backlog: 0.0,
        time: ms(20_000),
    };
    apply(&mut level, &mut now, light);
    assert!(level.level() < 0.01, "{}", level.level());
}

#[test]
fn lasting_overload_sheds_the_next_rank() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    let overload = Load {
        by_shed_order: &[0.5, 2.2],
        admitted: 1.0,
        backlog: 0.0,
        time: ms(20_000),
    };
    apply(&mut level, &mut now, overload);
    assert!(level.level() > 1.5, "{}", level.level());
}

/// Guards against counting the queue of a rank against all ranks, where a queue above the target load shed even ranks
/// without any requests. After a service had lost half of its hosts, less urgent requests with a long queue timeout
/// queued up, the level jumped between shedding a part of them and shedding everything, and urgent requests were
/// refused although the arrivals were below the capacity.
#[test]
fn backlog_of_a_rank_does_not_shed_more_urgent_ranks() {
    let now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    level.record_arrival(0, 10.0, 1.0);
    level.record_arrival(1, 3.0, 1.0);
    let mut backlog = Backlog::default();
    backlog.add(0, 5.0);
    level.update(10.0, &backlog, now + ms(1000));
    assert_eq!(level.level(), 1.0, "only the queued rank is shed");
    backlog.add(1, 0.9);
    level.record_arrival(0, 10.0, 1.0);
    level.record_arrival(1, 3.0, 1.0);
    level.update(10.0, &backlog, now + ms(2000));
    let level = level.level();
    assert!(
        (1.4..1.6).contains(&level),
        "half of the urgent rank is shed: {level}"
    );
}

/// Guards against hosts that take a change of their load for the effect of their own level. Entries shed by the mean
/// level of all hosts, so the level of the host with slightly more load kept rising to 1 in a long surge while the
/// other one fell to 0, and a third of the capacity was unused.
#[test]
fn levels_of_the_hosts_of_a_service_converge_in_a_surge() {
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
        let expected = 1.0 - LevelConfig::default().target_load / offered;
        let level = level.level();
        assert!(
            (level - expected).abs() < 0.02,
            "level {level} for offered load {offered}"
        );
    }
}

/// Guards against dispatching every request that has any time left. In a surge, three in ten requests of a slow route
/// queued until shortly before their deadline, were dispatched, and were stopped by their target at the deadline.
#[test]
fn requests_that_cannot_meet_their_deadline_are_not_dispatched() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    for _ in 0..100 {
        let running = ticket(gate.admit(request(1, false, now), now));
        gate.release(running, ms(400), now);
    }
    let short = SlotRequest {
        deadline: now + ms(150),
        ..request(1, false, now)
    };
    assert_eq!(gate.admit(short, now), Admission::DeadlineUnreachable);
    let _ = ticket(gate.admit(request(1, false, now), now));
    let enough = SlotRequest {
        deadline: now + ms(900),
        ..request(1, false, now)
    };
    let queued = ticket(gate.admit(enough, now));
    assert_eq!(
        gate.expire(now + ms(600)),
        [],
        "300 ms left, the mean is 400 ms"
    );
    assert_eq!(
        gate.expire(now + ms(750)),
        [queued],
        "150 ms left, less than half of the mean"
    );
}

#[test]
fn shedder_follows_reports_and_decays_stale_levels() {
    let now = Instant::now();
    let mut shedder = Shedder::new(ShedderConfig::default(), 1, now);
    let route = "r".into();
    assert_eq!(shedder.share(&route, 0, now), 0.0);
    for _ in 0..30 {
        shedder.report(&route, 1.4, now);
    }
    assert!(
        shedder.share(&route, 0, now) > 0.9,
        "the first rank is shed"
    );
    let second = shedder.share(&route, 1, now);
    assert!(
        (0.3..0.5).contains(&second),
        "a part of the second rank is shed: {second}"
    );
    assert_eq!(
        shedder.share(&route, 2, now),
        0.0,
        "the third rank is admitted"
    );
    assert_eq!(
        shedder.share(&route, 0, now + ms(6000)),
        0.0,
        "the last report is stale"
    );
}

/// Guards against an independent random choice for each attempt. Most callers that retry are then admitted at the
/// second attempt, so shedding a third of the requests does not reduce the load, and the level rises until nearly all
/// are shed.
#[test]
fn early_retries_are_shed_again() {
    struct Case {
        name: &'static str,
        level_at_retry: f64,
        is_expected: fn(f64) -> bool,
    }
    let cases = [
        Case {
            name: "same level",
            level_at_retry: 0.4,
            is_expected: |admitted| admitted < 0.01,
        },
        Case {
            name: "half the level",
            level_at_retry: 0.2,
            is_expected: |admitted| (0.4..0.6).contains(&admitted),
        },
        Case {
            name: "no overload",
            level_at_retry: 0.0,
            is_expected: |admitted| admitted > 0.99,
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut shedder = Shedder::new(ShedderConfig::default(), 1, now);
        let route = "r".into();
        let report = |shedder: &mut Shedder, level: f64, now: Instant| {
            for _ in 0..60 {
                shedder.report(&route, level, now);
            }
        };
        report(&mut shedder, 0.4, now);
        let is_shed = |shedder: &Shedder, path: &str, now: Instant| {
            shedder.admit(&route, 0, "h", path, now).is_err()
        };
        let mut paths: Vec<String> = (0..2000).map(|n| format!("/p/{n}")).collect();
        paths.retain(|path| is_shed(&shedder, path, now));
        assert!((700..900).contains(&paths.len()), "{} of 2000", paths.len());
        now += ms(500);
        report(&mut shedder, case.level_at_retry, now);
        let shed = paths.iter().filter(|path| is_shed(&shedder, path, now));
        let admitted = 1.0 - shed.count() as f64 / paths.len() as f64;
        assert!((case.is_expected)(admitted), "{}: {admitted}", case.name);
    }
}

/// A new epoch sheds different requests, and the Retry-After values of shed requests are spread over time.
#[test]
fn shed_requests_change_with_the_epoch() {
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
        "about half of them are expected to be shed again"
    );
    let waits: Vec<Duration> = first
        .iter()
        .filter_map(|path| shed(path, later))
        .map(|shed| shed.retry_after)
        .collect();
    let (soonest, latest) = (waits.iter().min(), waits.iter().max());
    assert!(
        *soonest.expect("shed requests") * 3 < *latest.expect("shed requests") * 2,
        "{soonest:?} {latest:?}"
    );
}

/// Guards against slow calls raising the level of the services above them, which then shed requests that could be served
/// there. Twenty runs per second hold one of eight slots for a second each, and wait for a call nine tenths of that time.
#[test]
fn waiting_for_calls_is_no_load() {
    struct Case {
        level_without_waits: bool,
        /// Whether runs have ended whose waits are known.
        samples: bool,
        is_overloaded: bool,
    }
    let case = |level_without_waits, samples, is_overloaded| Case {
        level_without_waits,
        samples,
        is_overloaded,
    };
    let cases = [
        case(true, true, false),
        case(true, false, true),
        case(false, true, true),
    ];
    for case in cases {
        let start = Instant::now();
        let cfg = GateConfig {
            slots: 8,
            headroom: false,
            level_without_waits: case.level_without_waits,
            ..Default::default()
        };
        let mut gate = TargetGate::new(cfg, start);
        for n in 0..80 {
            let now = start + ms(50 * n);
            let kind = request(2, false, now).kind;
            let ticket = ticket(gate.admit(request(2, false, now), now));
            gate.release(ticket, ms(1000), now);
            if case.samples {
                gate.record_work(kind, ms(100));
            }
            gate.update_level(now);
        }
        let level = gate.level();
        assert_eq!(
            level > 0.0,
            case.is_overloaded,
            "{} {}: {level}",
            case.level_without_waits,
            case.samples
        );
    }
}
