//! Tests of deadlines and of the margins subtracted from time limits.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Admission, GateConfig, RequestKind, RequestLimits, SlotRequest, TargetGate, TimeLimits,
};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the deadline of the last call in a chain of `depth` services, where each run calls the next service.
///
/// `limit` is the time limit of the external caller; every hop takes `hop`, and each run passes its remaining time on
/// to its call.
fn last_deadline(start: Instant, limit: Duration, hop: Duration, depth: u32) -> Instant {
    let limits = TimeLimits::default();
    let mut parent = None;
    let mut deadline = start;
    for index in 0..depth {
        let arrived = start + hop * index;
        let left = parent.map_or(limit, |parent: Instant| {
            parent.saturating_duration_since(arrived)
        });
        deadline = limits.deadline(&RequestLimits {
            arrived,
            route_timeout: ms(60_000),
            caller_timeout: Some(left),
            parent_deadline: parent,
        });
        parent = Some(deadline);
    }
    deadline
}

proptest! {
    /// Guards against subtracting the margin at every hop of a chain of calls. Calls at its end are then refused on
    /// arrival although their service needs only a tenth of the time that is actually left.
    #[test]
    fn margin_is_subtracted_once_per_chain_of_calls(
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
        // A call must not outlive the time limit of its caller.
        prop_assert!(last <= start + limit);
    }

    /// The margins leave most of a limit, however short it is.
    #[test]
    fn margins_leave_most_of_a_limit(limit_ms in 1_u64..60_000) {
        let limits = TimeLimits::default();
        let limit = ms(limit_ms);
        let margins = limits.answer.for_limit(limit) + limits.refusal.for_limit(limit);
        prop_assert!(margins <= limit.mul_f64(0.2));
    }
}

fn request(inner: bool, now: Instant, left: Duration) -> SlotRequest {
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
    let first = gate.admit(request(false, now, ms(10_000)), now);
    assert!(matches!(first, Admission::Dispatched(_)));
    gate
}

/// The refusal margin applies only to queued external requests, whose callers must be told in time that they did not
/// run.
#[test]
fn refusal_margin_applies_to_queued_external_requests() {
    struct Case {
        name: &'static str,
        inner: bool,
        left: Duration,
        /// Age at which it expires if it is still queued.
        expires_at: Duration,
    }
    let limits = TimeLimits::default();
    let cases = [
        Case {
            name: "a long limit",
            inner: false,
            left: ms(5000),
            expires_at: ms(5000) - limits.refusal.max,
        },
        Case {
            name: "a short limit",
            inner: false,
            left: ms(200),
            expires_at: ms(200).mul_f64(1.0 - limits.refusal.share),
        },
        Case {
            name: "a call of a run",
            inner: true,
            left: ms(200),
            expires_at: ms(200),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = busy_gate(now);
        let Admission::Queued(ticket) = gate.admit(request(case.inner, now, case.left), now) else {
            panic!("{}: must be queued", case.name);
        };
        let before = now + case.expires_at - ms(1);
        assert_eq!(gate.expire(before), [], "{}", case.name);
        let after = now + case.expires_at + ms(1);
        assert_eq!(gate.expire(after), [ticket], "{}", case.name);
    }
}

/// Guards against subtracting the refusal margin from requests that need not queue. The last call of a chain that
/// needed 33 ms was refused although a slot was free and 60 ms were left, less than the margin.
#[test]
fn dispatched_requests_are_not_subject_to_the_refusal_margin() {
    let now = Instant::now();
    let mut gate = TargetGate::new(GateConfig::default(), now);
    for inner in [false, true] {
        let admission = gate.admit(request(inner, now, ms(60)), now);
        assert!(
            matches!(admission, Admission::Dispatched(_)),
            "inner: {inner}"
        );
    }
}
