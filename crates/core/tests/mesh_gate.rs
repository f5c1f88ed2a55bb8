//! Tests of the queue before a target and of the level that follows from its load.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Entered, GateConfig, LevelConfig, LevelControl, Shedder, ShedderConfig, TargetGate, Ticket,
    Waiting,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn waiting(rank: u8, inner: bool, now: Instant) -> Waiting {
    Waiting {
        rank,
        inner,
        began: now,
        deadline: now + ms(10_000),
        patience: ms(10_000),
    }
}

fn gate(slots: u32, now: Instant) -> TargetGate {
    let cfg = GateConfig {
        slots,
        ..Default::default()
    };
    TargetGate::new(cfg, now)
}

fn ticket(entered: Entered) -> Ticket {
    match entered {
        Entered::Run(ticket) | Entered::Wait(ticket) => ticket,
        Entered::Refused { .. } => panic!("refused"),
    }
}

#[test]
fn urgent_ranks_go_first_and_runs_in_progress_before_new_ones() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    assert!(matches!(
        gate.enter(waiting(2, false, now), now),
        Entered::Run(_)
    ));
    let outer_low = ticket(gate.enter(waiting(2, false, now), now));
    let inner_low = ticket(gate.enter(waiting(2, true, now), now));
    let high = ticket(gate.enter(waiting(0, false, now), now));
    let mut order = Vec::new();
    for _ in 0..3 {
        gate.leave(ms(10));
        order.extend(gate.next(now));
        assert_eq!(gate.next(now), None, "one slot only");
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
    let _ = ticket(gate.enter(waiting(2, true, now), now));
    let of_newer = ticket(gate.enter(waiting(2, true, now), now));
    let older = Waiting {
        began: now
            .checked_sub(ms(700))
            .expect("the clock has run for long"),
        ..waiting(2, true, now)
    };
    let of_older = ticket(gate.enter(older, now));
    let mut order = Vec::new();
    for _ in 0..2 {
        gate.leave(ms(10));
        order.extend(gate.next(now));
    }
    assert_eq!(order, [of_older, of_newer]);
}

#[test]
fn who_would_wait_too_long_is_refused_at_once() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let _ = ticket(gate.enter(waiting(1, false, now), now));
    for _ in 0..10 {
        let _ = ticket(gate.enter(waiting(1, false, now), now));
    }
    let impatient = Waiting {
        patience: ms(200),
        ..waiting(1, false, now)
    };
    assert!(matches!(
        gate.enter(impatient, now),
        Entered::Refused { .. }
    ));
    let urgent = Waiting {
        patience: ms(200),
        ..waiting(0, false, now)
    };
    assert!(
        matches!(gate.enter(urgent, now), Entered::Wait(_)),
        "nobody is ahead of it"
    );
}

#[test]
fn expired_and_cancelled_requests_take_no_slot() {
    let now = Instant::now();
    let mut gate = gate(1, now);
    let _ = ticket(gate.enter(waiting(1, false, now), now));
    let short = Waiting {
        deadline: now + ms(500),
        ..waiting(1, false, now)
    };
    let expiring = ticket(gate.enter(short, now));
    let cancelled = ticket(gate.enter(waiting(1, false, now), now));
    let last = ticket(gate.enter(waiting(1, false, now), now));
    assert_eq!(gate.expire(now + ms(600)), [expiring]);
    assert!(gate.cancel(cancelled));
    assert!(!gate.cancel(cancelled));
    gate.leave(ms(10));
    assert_eq!(gate.next(now + ms(600)), Some(last));
}

/// Drives a level with a load for some time, looked at every 50 ms.
fn drive(level: &mut LevelControl, now: &mut Instant, load: f64, wait: Duration, time: Duration) {
    let rate = 1000.0;
    let step = ms(50);
    let steps = time.as_millis() / step.as_millis();
    for _ in 0..steps {
        for _ in 0..(rate * load * step.as_secs_f64()).round() as u32 {
            level.arrived();
        }
        level.waited(wait);
        *now += step;
        level.update(Duration::ZERO, rate, *now);
    }
}

/// Symptom: after a surge urgent requests are shed for seconds while the target idles, and the next surge finds it again.
/// Sequence: requests are shed at their entry; what was admitted before still arrives below for a second and waits; the
/// level goes on rising through all ranks, and falls as slowly as it rose.
/// Cause: a level that integrates the wait knows nothing of the load that has already fallen.
#[test]
fn a_level_stays_within_a_rank_while_the_load_falls_behind_it() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    drive(&mut level, &mut now, 1.7, ms(150), ms(1500));
    let risen = level.level();
    assert!(risen > 0.5, "a surge must show: {risen}");
    // The queue is still there, but no more arrives than can be done.
    drive(&mut level, &mut now, 0.9, ms(300), ms(1500));
    assert!(level.level() < 1.6, "{}", level.level());
    drive(&mut level, &mut now, 0.4, Duration::ZERO, ms(2500));
    assert!(level.level() < 0.2, "the target idles: {}", level.level());
}

#[test]
fn a_calm_target_has_no_level() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    drive(&mut level, &mut now, 0.8, ms(5), ms(20_000));
    assert!(level.level() < 0.01, "{}", level.level());
}

#[test]
fn lasting_overload_reaches_the_next_rank() {
    let mut now = Instant::now();
    let mut level = LevelControl::new(LevelConfig::default(), now);
    drive(&mut level, &mut now, 2.0, ms(500), ms(20_000));
    assert!(level.level() > 1.5, "{}", level.level());
}

#[test]
fn a_shedder_follows_reports_and_forgets_old_ones() {
    let now = Instant::now();
    let mut shedder = Shedder::new(ShedderConfig::default());
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
