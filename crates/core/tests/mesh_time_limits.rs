//! Tests of what is taken off the time limits of requests on their way.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Admission, GateConfig, RequestKind, RequestLimits, SlotRequest, TargetGate, TimeLimits,
};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Runs a request and, from its run, a call of the next service, and so on; returns the deadline of the last call.
///
/// `limit` is what the caller from outside waits; every hop takes `hop`, and each run tells its calls the time it has left.
fn last_deadline(start: Instant, limit: Duration, hop: Duration, depth: u32) -> Instant {
    let limits = TimeLimits::default();
    let mut outer = None;
    let mut deadline = start;
    for level in 0..depth {
        let arrived = start + hop * level;
        let left = outer.map_or(limit, |outer: Instant| {
            outer.saturating_duration_since(arrived)
        });
        deadline = limits.deadline(&RequestLimits {
            arrived,
            route_timeout: ms(60_000),
            caller_timeout: Some(left),
            outer_deadline: outer,
        });
        outer = Some(deadline);
    }
    deadline
}

proptest! {
    /// Symptom: calls at the end of a chain are refused on arrival although their service needs a tenth of what the clock
    /// has left them.
    /// Sequence: a request enters, its run calls the next service, and so on; each hop takes a margin off the deadline and
    /// hands the rest on.
    /// Cause: a margin that protects one hop was taken by each.
    #[test]
    fn a_chain_takes_one_margin_off_the_limit(
        limit_ms in 20_u64..20_000,
        hop_us in 0_u64..2_000,
        depth in 1_u32..14,
    ) {
        let limits = TimeLimits::default();
        let limit = ms(limit_ms);
        let start = Instant::now();
        let last = last_deadline(start, limit, Duration::from_micros(hop_us), depth);
        let margin = limits.answer.for_limit(limit);
        prop_assert!(last + margin >= start + limit);
        // Nor may a call outlive what its caller waits.
        prop_assert!(last <= start + limit);
    }

    /// However short a limit is, its margins leave most of it.
    #[test]
    fn margins_leave_most_of_a_limit(limit_ms in 1_u64..60_000) {
        let limits = TimeLimits::default();
        let limit = ms(limit_ms);
        let margins = limits.answer.for_limit(limit) + limits.refusal.for_limit(limit);
        prop_assert!(margins <= limit.mul_f64(0.2));
    }
}

fn waiting(inner: bool, now: Instant, left: Duration) -> SlotRequest {
    SlotRequest {
        rank: 1,
        shed_order: 0,
        admitted: 1.0,
        kind: RequestKind(1),
        inner,
        began: now,
        deadline: now + left,
        queue_timeout: ms(10_000),
    }
}

fn busy_gate(now: Instant) -> TargetGate {
    let cfg = GateConfig {
        slots: 1,
        ..Default::default()
    };
    let mut gate = TargetGate::new(cfg, now);
    let first = gate.admit(waiting(false, now, ms(10_000)), now);
    assert!(matches!(first, Admission::Dispatched(_)));
    gate
}

/// A request with little time left is refused for a margin only while it waits, and only where somebody outside must hear
/// of it.
#[test]
fn a_margin_is_taken_by_those_that_wait() {
    struct Case {
        name: &'static str,
        inner: bool,
        left: Duration,
        /// Age at which it is refused if it still waits.
        refused_at: Duration,
    }
    let limits = TimeLimits::default();
    let cases = [
        Case {
            name: "a long limit",
            inner: false,
            left: ms(5000),
            refused_at: ms(5000) - limits.refusal.max,
        },
        Case {
            name: "a short limit",
            inner: false,
            left: ms(200),
            refused_at: ms(200).mul_f64(1.0 - limits.refusal.share),
        },
        Case {
            name: "a call of a run",
            inner: true,
            left: ms(200),
            refused_at: ms(200),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = busy_gate(now);
        let Admission::Queued(ticket) = gate.admit(waiting(case.inner, now, case.left), now) else {
            panic!("{}: it can wait", case.name);
        };
        let before = now + case.refused_at - ms(1);
        assert_eq!(gate.expire(before), [], "{}", case.name);
        let after = now + case.refused_at + ms(1);
        assert_eq!(gate.expire(after), [ticket], "{}", case.name);
    }
}

/// Symptom: the last call of a chain is refused although a slot is free and 60 ms are left of the 33 ms that it needs.
/// Sequence: it arrives with less time than the margin of a queue.
/// Cause: the margin of those that wait was taken from those that don't.
#[test]
fn a_request_that_need_not_wait_gives_up_no_margin() {
    let now = Instant::now();
    let mut gate = TargetGate::new(GateConfig::default(), now);
    for inner in [false, true] {
        let entered = gate.admit(waiting(inner, now, ms(60)), now);
        assert!(
            matches!(entered, Admission::Dispatched(_)),
            "inner: {inner}"
        );
    }
}
