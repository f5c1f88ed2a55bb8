//! Soak test of planned work alone: plan generation and short runs with real processes.

use coltsfootport_rig::soak::{self, Fault, SoakPlan, Work};

/// Guards against requests that stopping nodes have read and leave without an answer: queued at a host, or ready behind
/// a slow one on their connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_work_loses_no_request() {
    for seed in [2, 4] {
        let plan = SoakPlan::planned_of_seed(seed, 10, 4);
        let report = soak::run(&plan).await.expect("a run");
        assert!(report.breaches.is_empty(), "{report:#?}\n{plan:#?}");
        let rolls = report.struck.get("roll").copied().unwrap_or_default();
        assert!(
            rolls.at_work > 0 && rolls.queued > 0 && rolls.ready_behind > 0,
            "{report:#?}"
        );
    }
}

/// Guards against a plan whose faults excuse what its planned work breaks.
#[test]
fn a_plan_of_planned_work_has_nothing_else() {
    for seed in 0..100 {
        let plan = SoakPlan::planned_of_seed(seed, 12, 4);
        assert_eq!(plan.work, Work::Planned);
        assert_eq!(plan, SoakPlan::planned_of_seed(seed, 12, 4));
        let faults: Vec<Fault> = plan.faults.iter().map(|one| one.fault).collect();
        let is_planned = |fault: &Fault| {
            matches!(
                fault,
                Fault::Roll { .. }
                    | Fault::Crowd { .. }
                    | Fault::Hangup { .. }
                    | Fault::Configs { .. }
                    | Fault::WorkLimits { .. }
                    | Fault::Leave { .. }
            )
        };
        assert!(faults.iter().all(is_planned), "seed {seed}: {faults:?}");
        let rolls = faults.iter().any(|one| matches!(one, Fault::Roll { .. }));
        let crowds = faults.iter().any(|one| matches!(one, Fault::Crowd { .. }));
        assert!(rolls && crowds, "seed {seed}: {faults:?}");
    }
}
