//! Tests of the node lifecycle: no new work after leaving, no interruption of calls in flight.

use std::time::{Duration, Instant};

use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::lifecycle::{Lifecycle, LifecycleConfig, LifecycleEvent, Phase};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Copy, Debug)]
enum Step {
    Ready,
    Leave,
    Accept,
    Withdraw,
    Dispatch,
    Finish,
    Abandon,
    Wait(u64),
}

struct Case {
    name: &'static str,
    accept_for_ms: u64,
    steps: &'static [Step],
    phase: Phase,
    may_accept: bool,
    may_dispatch: bool,
    breaches: usize,
    interrupted: usize,
}

/// A stop must not interrupt calls or let calls be sent to a stopping node. This happens if work is accepted after the
/// announcement, or if the process exits before its work has finished or the announcement has reached all nodes.
#[test]
fn a_stop_takes_no_new_work_and_finishes_the_rest() {
    use Step::*;
    let base = Case {
        name: "",
        accept_for_ms: 0,
        steps: &[],
        phase: Phase::Leaving,
        may_accept: false,
        may_dispatch: false,
        breaches: 0,
        interrupted: 0,
    };
    #[rustfmt::skip]
    let cases = [
        Case {
            name: "a starting node accepts no work",
            steps: &[Accept, Dispatch], phase: Phase::Starting, breaches: 1, ..base
        },
        Case {
            name: "a serving node accepts work",
            steps: &[Ready, Accept, Dispatch, Finish], phase: Phase::Serving, may_accept: true,
            may_dispatch: true, ..base
        },
        Case {
            name: "queued work is dispatched while leaving",
            steps: &[Ready, Accept, Accept, Leave, Dispatch], may_dispatch: true, ..base
        },
        Case {
            name: "work that arrives after leaving is refused and reported",
            steps: &[Ready, Accept, Leave, Accept, Dispatch, Dispatch], breaches: 1, ..base
        },
        Case {
            name: "an idle node waits for the announcement period",
            steps: &[Ready, Leave, Wait(2_900)], ..base
        },
        Case {
            name: "an idle node stops after the announcement period",
            steps: &[Ready, Leave, Wait(3_000), Accept, Dispatch], phase: Phase::Stopped,
            breaches: 1, ..base
        },
        Case {
            name: "a call in flight is awaited beyond the drain limit",
            steps: &[Ready, Accept, Dispatch, Leave, Wait(120_000)], ..base
        },
        Case {
            name: "the node stops after the last answer",
            steps: &[
                Ready, Accept, Accept, Dispatch, Leave, Withdraw, Wait(9_000), Finish, Wait(1),
            ],
            phase: Phase::Stopped, ..base
        },
        Case {
            name: "a late start doesn't return a leaving node to service",
            steps: &[Leave, Ready, Accept], ..base
        },
        Case {
            name: "calls in transit during the announcement are accepted",
            accept_for_ms: 500,
            steps: &[Ready, Leave, Wait(499), Accept, Dispatch, Wait(1), Accept, Dispatch],
            breaches: 1, ..base
        },
        Case {
            name: "a node that never served accepts no calls in transit", accept_for_ms: 500,
            steps: &[Leave, Accept, Dispatch], breaches: 1, ..base
        },
        Case {
            name: "abandoned calls are counted",
            steps: &[Ready, Accept, Accept, Dispatch, Leave, Abandon], phase: Phase::Stopped,
            interrupted: 2, ..base
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(Duration::from_millis(case.accept_for_ms));
        for step in case.steps {
            simulation.step(*step);
        }
        let node = &simulation.node;
        assert_eq!(node.phase(), case.phase, "{}", case.name);
        assert_eq!(node.may_accept(), case.may_accept, "{}", case.name);
        assert_eq!(node.may_dispatch(), case.may_dispatch, "{}", case.name);
        assert_eq!(simulation.breaches, case.breaches, "{}", case.name);
        assert_eq!(simulation.interrupted, case.interrupted, "{}", case.name);
    }
}

/// A node leaves with a call in flight for longer than the drain limit. If the announcement were not repeated, callers
/// that missed it would continue to send calls; without a report, an operator would not know why the stop is delayed.
#[test]
fn leaving_is_repeated_and_a_long_drain_is_reported_once() {
    use Step::*;
    let mut simulation = Simulation::new(Duration::ZERO);
    for step in [
        Ready,
        Accept,
        Dispatch,
        Leave,
        Wait(0),
        Wait(400),
        Wait(100),
        Wait(60_000),
    ] {
        simulation.step(step);
    }
    simulation.step(Wait(1));
    let announced = simulation
        .events
        .iter()
        .filter(|event| **event == LifecycleEvent::Announce)
        .count();
    assert_eq!(announced, 3);
    assert_eq!(
        simulation.events.last(),
        Some(&LifecycleEvent::DrainDeadline { left: 1 })
    );
    for step in [Finish, Wait(1), Wait(1)] {
        simulation.step(step);
    }
    let drained = simulation
        .events
        .iter()
        .filter(|event| **event == LifecycleEvent::Drained)
        .count();
    assert_eq!((drained, simulation.node.wake_at()), (1, None));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(11), cases: 400, ..ProptestConfig::default()
    })]

    /// Random sequences of events, to detect backward phase transitions and errors in the count of work.
    #[test]
    fn any_order_of_events_keeps_the_promises(steps in proptest::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new(Duration::ZERO);
        let mut phase = Phase::Starting;
        let mut leaving_since: Option<Instant> = None;
        let mut accepted_before_leaving = 0;
        let mut dispatched_while_leaving = 0;
        for step in steps {
            let breaches = simulation.breaches;
            let leaving = simulation.node.phase() >= Phase::Leaving;
            simulation.step(step);
            let now = simulation.node.phase();
            prop_assert!(now >= phase, "phases never go back");
            if matches!(step, Step::Dispatch) && leaving && simulation.breaches == breaches {
                dispatched_while_leaving += 1;
            }
            if now == Phase::Leaving && leaving_since.is_none() {
                leaving_since = Some(simulation.now);
                accepted_before_leaving = simulation.node.waiting();
            }
            prop_assert!(
                dispatched_while_leaving <= accepted_before_leaving,
                "only work accepted before leaving is dispatched"
            );
            if now == Phase::Stopped && phase != Phase::Stopped {
                let waited = leaving_since.map(|at| simulation.now.duration_since(at));
                prop_assert!(waited >= Some(LifecycleConfig::default().announce_for));
                prop_assert_eq!(simulation.node.waiting() + simulation.node.in_flight(), 0);
            }
            phase = now;
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Ready),
        1 => Just(Step::Leave),
        6 => Just(Step::Accept),
        1 => Just(Step::Withdraw),
        5 => Just(Step::Dispatch),
        4 => Just(Step::Finish),
        3 => (0_u64..4_000).prop_map(Step::Wait),
    ]
}

struct Simulation {
    node: Lifecycle,
    now: Instant,
    events: Vec<LifecycleEvent>,
    breaches: usize,
    interrupted: usize,
}

impl Simulation {
    fn new(accept_for: Duration) -> Self {
        let cfg = LifecycleConfig {
            accept_for,
            ..LifecycleConfig::default()
        };
        let node = Lifecycle::new(cfg);
        Self {
            node,
            now: Instant::now(),
            events: Vec::new(),
            breaches: 0,
            interrupted: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ready => drop(self.node.ready(self.now)),
            Step::Leave => drop(self.node.leave(self.now)),
            Step::Accept => drop(self.node.accepted()),
            Step::Withdraw => self.node.withdrawn(),
            Step::Finish => self.node.finished(),
            Step::Abandon => self.interrupted += self.node.abandon(),
            Step::Dispatch => {
                let breach = self.node.dispatched();
                assert!(breach.is_none_or(|breach| breach == Invariant::WorkAfterLeaving));
                self.breaches += usize::from(breach.is_some());
            }
            Step::Wait(ms) => {
                self.now += Duration::from_millis(ms);
                while let Some(event) = self.node.poll(self.now) {
                    self.events.push(event);
                }
            }
        }
    }
}
