//! Random faults from fixed seeds on real processes.

use coltsfootport_rig::chaos::{self, ChaosPlan, Evidence, breaches_of};
use coltsfootport_rig::load::{Ending, KeyEnding};
use coltsfootport_rig::target::{KeyRuns, TargetCounts};

// Symptom: a call runs twice, runs after "not run", or is given another call's answer.
// Sequence: any that the seeds give: kills, freezes, restarts, stops, cuts, scrambled datagrams, a platform that is down or
// stale, slow targets and new documents, several at a time, under callers that retry at once.
// Cause: to be found by the printed plan, which `coltsfootport-rig chaos --seed` runs again.
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
    assert!(plan.rounds.iter().all(|round| round.strikes.len() == 8));
}

struct Verdict {
    ending: Ending,
    /// Runs at two targets.
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
        let case = Verdict {
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
        let found = breaches_of(&Evidence {
            keys: &keys,
            wrong: 0,
            targets: &targets,
            counted: &[],
        });
        assert_eq!(!found.is_empty(), case.is_breach, "{ending:?} {runs:?}");
    }
}
