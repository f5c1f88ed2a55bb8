//! A target that waits for further services is not taken for a congested one.

use std::time::{Duration, Instant};

use coltsfootport_core::admission::{
    Action, Admission, AdmissionConfig, AdmissionMode, Finish, Offer,
};
use coltsfootport_core::class::Class;

const INITIAL: u32 = 24;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Calls of one phase: how long they take, how much of that is spent below, and how the later half of them fails at once.
#[derive(Clone, Copy)]
struct Phase {
    took: Duration,
    below: Duration,
    fails: Option<Finish>,
}

/// Runs waves of as many calls as the limit lets start.
fn waves(admission: &mut Admission, phase: Phase, count: usize, mut now: Instant) -> Instant {
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
        let served = match phase.fails {
            Some(_) => started.len() / 2,
            None => started.len(),
        };
        for key in &started[served..] {
            let fails = phase.fails.unwrap_or(Finish::Served);
            admission.finish(*key, fails, now + ms(1));
        }
        now += phase.took;
        for key in &started[..served] {
            admission.record_downstream_wait(*key, phase.below);
            admission.finish(*key, Finish::Served, now);
        }
    }
    now
}

/// Symptom: under a surge the limits of services in the middle of a chain fell to 2 of 24 slots, and calls of the highest
/// class were shed there while these targets had nothing to do.
/// Sequence: the deepest service queues; calls of all services above it take longer, or fail when it sheds them.
/// Cause: the whole service time and every failure were taken as signs of the target itself.
#[test]
fn time_and_failures_below_do_not_cut_the_limit() {
    struct Case {
        name: &'static str,
        slow: Phase,
        falls: bool,
    }
    let cases = [
        Case {
            name: "slow below",
            slow: Phase {
                took: ms(400),
                below: ms(380),
                fails: None,
            },
            falls: false,
        },
        Case {
            name: "slow itself",
            slow: Phase {
                took: ms(400),
                below: ms(0),
                fails: None,
            },
            falls: true,
        },
        Case {
            name: "fails below",
            slow: Phase {
                took: ms(20),
                below: ms(0),
                fails: Some(Finish::FailedDownstream),
            },
            falls: false,
        },
        Case {
            name: "fails itself",
            slow: Phase {
                took: ms(20),
                below: ms(0),
                fails: Some(Finish::Failed),
            },
            falls: true,
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
            took: ms(20),
            below: ms(0),
            fails: None,
        };
        let now = waves(&mut admission, usual, 100, now);
        assert_eq!(admission.limit(), INITIAL, "{}", case.name);
        let mut least = INITIAL;
        let mut now = now;
        for _ in 0..20 {
            now = waves(&mut admission, case.slow, 1, now);
            least = least.min(admission.limit());
        }
        assert_eq!(least < INITIAL, case.falls, "{}: {least}", case.name);
    }
}
