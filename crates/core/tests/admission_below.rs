//! Waiting for downstream services must not be mistaken for congestion of the target.

use std::time::{Duration, Instant};

use coltsfootport_core::admission::{
    Action, Admission, AdmissionConfig, AdmissionMode, Finish, Offer,
};
use coltsfootport_core::class::Class;

const INITIAL: u32 = 24;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Behaviour of the calls in one phase.
#[derive(Clone, Copy)]
struct Phase {
    service_time: Duration,
    /// Part of `service_time` spent waiting for downstream services.
    downstream_wait: Duration,
    /// If set, the second half of the started calls fails with this result after 1 ms.
    failure: Option<Finish>,
}

/// Runs `count` rounds, each with as many concurrent calls as the limit allows, and returns the time after the last
/// one.
fn run_rounds(admission: &mut Admission, phase: Phase, count: usize, mut now: Instant) -> Instant {
    for _ in 0..count {
        let wanted = admission.limit() * 2;
        let offer = Offer {
            class: Class(0),
            bucket: 0,
            deadline: now + ms(60_000),
        };
        let keys: Vec<_> = (0..wanted).map(|_| admission.offer(offer, now)).collect();
        let mut actions = Vec::new();
        admission.poll(now, &mut actions);
        let (started, waiting): (Vec<_>, Vec<_>) = keys
            .into_iter()
            .partition(|key| actions.contains(&Action::Start(*key)));
        for key in waiting {
            admission.cancel(key, now);
        }
        let served = match phase.failure {
            Some(_) => started.len() / 2,
            None => started.len(),
        };
        for key in &started[served..] {
            let finish = phase.failure.unwrap_or(Finish::Served);
            admission.finish(*key, finish, now + ms(1));
        }
        now += phase.service_time;
        for key in &started[..served] {
            admission.record_downstream_wait(*key, phase.downstream_wait);
            admission.finish(*key, Finish::Served, now);
        }
    }
    now
}

/// When the last service of a chain is overloaded, calls of all services upstream of it take longer or fail. If the
/// whole service time and every failure are attributed to the target itself, the limits in the middle of the chain fall
/// (to 2 of 24 slots in a surge) and calls of the highest class are shed there while the targets are idle.
#[test]
fn time_and_failures_below_do_not_cut_the_limit() {
    struct Case {
        name: &'static str,
        overload: Phase,
        cuts_limit: bool,
    }
    let cases = [
        Case {
            name: "slow downstream",
            overload: Phase {
                service_time: ms(400),
                downstream_wait: ms(380),
                failure: None,
            },
            cuts_limit: false,
        },
        Case {
            name: "slow target",
            overload: Phase {
                service_time: ms(400),
                downstream_wait: ms(0),
                failure: None,
            },
            cuts_limit: true,
        },
        Case {
            name: "fails downstream",
            overload: Phase {
                service_time: ms(20),
                downstream_wait: ms(0),
                failure: Some(Finish::FailedDownstream),
            },
            cuts_limit: false,
        },
        Case {
            name: "failing target",
            overload: Phase {
                service_time: ms(20),
                downstream_wait: ms(0),
                failure: Some(Finish::Failed),
            },
            cuts_limit: true,
        },
    ];
    for case in cases {
        let cfg = AdmissionConfig {
            mode: AdmissionMode::Adaptive,
            initial_limit: INITIAL,
            max_limit: INITIAL,
            cold_start: Duration::ZERO,
            level_shedding: false,
            ..AdmissionConfig::default()
        };
        let now = Instant::now();
        let mut admission = Admission::new(cfg, now);
        let usual = Phase {
            service_time: ms(20),
            downstream_wait: ms(0),
            failure: None,
        };
        let now = run_rounds(&mut admission, usual, 100, now);
        assert_eq!(admission.limit(), INITIAL, "{}", case.name);
        let mut least = INITIAL;
        let mut now = now;
        for _ in 0..20 {
            now = run_rounds(&mut admission, case.overload, 1, now);
            least = least.min(admission.limit());
        }
        assert_eq!(least < INITIAL, case.cuts_limit, "{}: {least}", case.name);
    }
}
