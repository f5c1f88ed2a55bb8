//! Rate limits that targets name, at the gate in front of them.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Admission, GateConfig, RateLimit, RequestKind, SlotRequest, TargetGate, Ticket,
};
use proptest::collection::vec;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(4);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn request(rank: u8, now: Instant) -> SlotRequest {
    SlotRequest {
        rank,
        shed_order: 0,
        admitted: 1.0,
        kind: RequestKind(0),
        inner: false,
        began: now,
        deadline: now + ms(2000),
        queue_timeout: ms(600),
    }
}

fn gate(now: Instant) -> TargetGate {
    let cfg = GateConfig {
        slots: 100,
        ..GateConfig::default()
    };
    TargetGate::new(cfg, now)
}

proptest! {
    /// No window of 4 s has more starts than the limit allows in it and the saved starts of a quarter of a second.
    #[test]
    fn starts_stay_within_the_limit(
        limit in 0.0..200.0f64,
        pauses in vec(0u64..300, 100..400),
        wanted in vec(0usize..40, 400),
    ) {
        let begin = Instant::now();
        let mut now = begin;
        let mut rate = RateLimit::new(limit, now);
        let mut starts: Vec<Instant> = Vec::new();
        for (pause, wanted) in pauses.into_iter().zip(wanted) {
            now += ms(pause);
            rate.refill(now);
            // A limit that is named again changes nothing.
            rate.set_rate(limit, now);
            starts.extend((0..wanted).map_while(|_| rate.try_take().then_some(now)));
        }
        let limit = limit.max(0.5);
        let allowed = limit * WINDOW.as_secs_f64() + (limit * 0.25).max(1.0) + 1e-6;
        for (n, start) in starts.iter().enumerate() {
            let within = starts[n..].iter().take_while(|at| **at < *start + WINDOW);
            prop_assert!(within.count() as f64 <= allowed);
        }
    }
}

/// Scarce starts go to the highest rank, and what waits too long is refused with the time of the next start.
#[test]
fn a_limited_gate_starts_by_rank_and_refuses_the_rest() {
    let begin = Instant::now();
    let mut gate = gate(begin);
    assert!(gate.set_rate_limit(Some(10.0), begin));
    assert!(!gate.set_rate_limit(Some(10.0), begin));
    let mut queued: Vec<(u8, Ticket)> = Vec::new();
    let mut refused = 0;
    for n in 0..20 {
        let rank = n % 2;
        match gate.admit(request(rank, begin), begin) {
            Admission::Queued(ticket) => queued.push((rank, ticket)),
            Admission::Refused { retry_after } => {
                assert!(retry_after >= ms(600));
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(refused > 0);
    // The first starts are of rank 0, one each 100 ms.
    let mut now = begin;
    for _ in 0..4 {
        now += ms(101);
        assert!(gate.expire(now).is_empty());
        let started = gate.dispatch_next().expect("a start");
        assert!(queued.contains(&(0, started)));
        assert_eq!(gate.dispatch_next(), None);
    }
}

/// A target near its limit is reported as full, so that balancing sends requests elsewhere.
#[test]
fn a_limited_target_is_reported_as_full() {
    let begin = Instant::now();
    let mut gate = gate(begin);
    gate.set_rate_limit(Some(40.0), begin);
    assert_eq!(gate.reported_load(), 100);
    gate.expire(begin + ms(1000));
    assert_eq!(gate.reported_load(), 0);
    gate.set_rate_limit(None, begin + ms(1000));
    assert_eq!(gate.reported_load(), 0);
}
