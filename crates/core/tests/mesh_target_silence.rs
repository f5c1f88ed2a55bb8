//! The gate in front of a target that stops responding.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Admission, GateConfig, RequestKind, SlotRequest, TargetGate, Ticket,
};

const SLOTS: u32 = 4;

/// Usual service time of the target.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// How long callers wait before they leave.
const PATIENCE: Duration = Duration::from_millis(200);

/// Interval between two requests.
const ARRIVALS: Duration = Duration::from_millis(20);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Creates a gate that knows the usual service time.
fn gate(slots: u32, now: Instant) -> TargetGate {
    let cfg = GateConfig {
        slots,
        headroom: false,
        ..GateConfig::default()
    };
    let mut gate = TargetGate::new(cfg, now);
    for _ in 0..20 {
        let ticket = start(&mut gate, now).expect("a free slot");
        gate.release(ticket, SERVICE_TIME, now);
    }
    gate
}

/// Starts a request if that is possible at once.
fn start(gate: &mut TargetGate, now: Instant) -> Option<Ticket> {
    let request = SlotRequest {
        rank: 0,
        shed_order: 0,
        admitted: 1.0,
        kind: RequestKind(0),
        inner: false,
        began: now,
        deadline: now + ms(2000),
        queue_timeout: Duration::ZERO,
    };
    match gate.admit(request, now) {
        Admission::Dispatched(ticket) => Some(ticket),
        Admission::Queued(ticket) => {
            gate.cancel(ticket);
            None
        }
        Admission::Refused { .. } | Admission::DeadlineUnreachable => None,
    }
}

struct Case {
    name: &'static str,
    /// Of how many requests one is answered after the usual time; none if 0.
    answered: u32,
    time: Duration,
    is_silent: bool,
    /// Requests that start at most.
    max_started: u32,
}

const CASES: [Case; 4] = [
    Case {
        name: "it stands still for a second",
        answered: 0,
        time: ms(1000),
        is_silent: true,
        max_started: 2 * SLOTS + 1,
    },
    Case {
        name: "it stands still for ten seconds",
        answered: 0,
        time: ms(10_000),
        is_silent: true,
        max_started: 2 * SLOTS + 4,
    },
    Case {
        name: "half of the callers leave early",
        answered: 2,
        time: ms(10_000),
        is_silent: false,
        max_started: u32::MAX,
    },
    Case {
        name: "four of five callers leave early",
        answered: 5,
        time: ms(10_000),
        is_silent: false,
        max_started: u32::MAX,
    },
];

/// Guards against requests that are sent without end to a target that stands still, as their callers leave.
#[test]
fn a_target_without_responses_gets_few_requests() {
    for case in CASES {
        let begin = Instant::now();
        let mut gate = gate(SLOTS, begin);
        let mut running: Vec<(Instant, Ticket, bool)> = Vec::new();
        let mut started = 0;
        let mut now = begin;
        while now < begin + case.time {
            now += ARRIVALS;
            running.retain(|(ends, ticket, answered)| {
                if *ends > now {
                    return true;
                }
                match answered {
                    true => gate.release(*ticket, SERVICE_TIME, now),
                    false => gate.release_unanswered(*ticket, PATIENCE, Some(PATIENCE), now),
                }
                false
            });
            if let Some(ticket) = start(&mut gate, now) {
                started += 1;
                let answered = case.answered > 0 && started % case.answered == 0;
                let lasts = if answered { SERVICE_TIME } else { PATIENCE };
                running.push((now + lasts, ticket, answered));
            }
        }
        assert_eq!(gate.is_silent(), case.is_silent, "{}", case.name);
        assert!(started <= case.max_started, "{}: {started}", case.name);
    }
}

fn silent_gate(now: Instant) -> TargetGate {
    let mut gate = gate(SLOTS, now);
    let ticket = start(&mut gate, now).expect("a free slot");
    gate.release_unanswered(ticket, ms(1000), Some(ms(1000)), now + ms(1000));
    assert!(gate.is_silent());
    gate
}

/// Guards against a target that stays out of use after it has gone on.
#[test]
fn a_silent_target_that_goes_on_has_all_its_slots() {
    let begin = Instant::now();
    let now = begin + ms(1100);
    let went_on: [fn(&mut TargetGate, Instant); 2] = [
        TargetGate::record_activity,
        TargetGate::reset_for_new_process,
    ];
    for went_on in went_on {
        let mut gate = silent_gate(begin);
        assert_eq!(start(&mut gate, now), None);
        assert!(gate.reported_load() >= SLOTS);
        went_on(&mut gate, now);
        let started = (0..SLOTS).filter_map(|_| start(&mut gate, now));
        assert_eq!(started.count(), SLOTS as usize);
    }
    let mut gate = silent_gate(begin);
    let later = begin + ms(1600);
    let probe = start(&mut gate, later).expect("a request that finds out");
    assert_eq!(start(&mut gate, later), None);
    gate.release(probe, SERVICE_TIME, later + SERVICE_TIME);
    assert!(!gate.is_silent());
}

/// Guards against a target that counts as silent because many callers leave between two of its responses.
#[test]
fn many_callers_that_leave_at_once_do_not_make_a_target_silent() {
    let begin = Instant::now();
    let mut gate = gate(100, begin);
    let mut now = begin;
    let left_after = SERVICE_TIME - ms(10);
    for _ in 0..50 {
        let mut started: Vec<Ticket> = (0..40).filter_map(|_| start(&mut gate, now)).collect();
        let answered = started.pop().expect("a free slot");
        now += left_after;
        for ticket in started {
            gate.release_unanswered(ticket, left_after, Some(left_after), now);
            assert!(!gate.is_silent());
        }
        now += ms(10);
        gate.release(answered, SERVICE_TIME, now);
    }
}

/// Guards against a target that counts as silent because its callers did not send their requests to the end.
#[test]
fn requests_that_were_not_sent_do_not_count() {
    let now = Instant::now();
    let mut gate = gate(SLOTS, now);
    for _ in 0..50 {
        let ticket = start(&mut gate, now).expect("a free slot");
        gate.release_unanswered(ticket, ms(1000), None, now + ms(1000));
    }
    assert!(!gate.is_silent());
}
