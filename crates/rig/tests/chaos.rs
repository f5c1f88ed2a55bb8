//! Runs chaos plans of fixed seeds on real processes, and tests plan generation and the checks.

use coltsfootport_rig::chaos::{self, ChaosPlan, Evidence, find_breaches};
use coltsfootport_rig::load::{Ending, KeyEnding};
use coltsfootport_rig::target::{KeyRuns, TargetCounts};

// Guards against calls that run twice, run after "not run", or get another call's answer, under
// overlapping random faults: kills, freezes, restarts, stops, cuts, scrambled datagrams, a platform
// that is down or stale, slow targets and new documents, while callers retry at once. To reproduce a
// failure, run the printed plan's seed with `coltsfootport-rig chaos --seed`.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    for (seed, seconds, rounds) in [(1, 6.0, 2), (2, 6.0, 2), (5, 7.0, 1)] {
        let plan = ChaosPlan::of_seed(seed, seconds, rounds);
        let report = chaos::run(&plan).await.expect("a run");
        assert!(
            report.breaches.is_empty(),
            "seed {seed}: {:#?}\n{plan:#?}",
            report.breaches
        );
        assert!(report.endings.whole > 0 && report.keys > 0, "{report:?}");
    }
}

#[test]
fn a_plan_follows_from_its_seed() {
    let plan = ChaosPlan::of_seed(7, 20.0, 4);
    assert_eq!(plan, ChaosPlan::of_seed(7, 20.0, 4));
    assert_ne!(plan, ChaosPlan::of_seed(8, 20.0, 4));
    assert_eq!(plan.rounds.len(), 4);
    assert!(plan.rounds.iter().all(|round| round.faults.len() == 8));
}

struct Case {
    ending: Ending,
    /// Number of runs at each of two targets.
    runs: [u64; 2],
    is_breach: bool,
}

#[test]
fn broken_promises_are_found() {
    let cases = [
        (Ending::Whole, [1, 0], false),
        (Ending::Whole, [0, 0], true),
        (Ending::Whole, [1, 1], true),
        (Ending::Unknown, [0, 1], false),
        (Ending::Unknown, [0, 2], true),
        (Ending::NotRun, [0, 0], false),
        (Ending::NotRun, [0, 1], true),
        (Ending::Timeout, [1, 1], true),
        (Ending::NoToken, [1, 0], true),
    ];
    for (ending, runs, is_breach) in cases {
        let case = Case {
            ending,
            runs,
            is_breach,
        };
        let targets = case.runs.map(|started| {
            let mut counts = TargetCounts::default();
            let runs = KeyRuns {
                started,
                ..KeyRuns::default()
            };
            counts.keys.insert("key".into(), runs);
            counts
        });
        let keys = [KeyEnding {
            key: "key".into(),
            ending: case.ending,
            sent: 1,
        }];
        let found = find_breaches(&Evidence {
            keys: &keys,
            wrong_answers: 0,
            targets: &targets,
            node_breaches: &[],
        });
        assert_eq!(!found.is_empty(), case.is_breach, "{ending:?} {runs:?}");
    }
}
