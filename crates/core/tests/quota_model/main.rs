//! Simulation of quotas over a whole fleet in virtual time: entries, homes, and links that fail.
//!
//! The tests count the requests admitted in any window of five seconds by all entries, reachable or not. The bound is
//! the one documented for operators: a quarter above the quota, plus twenty requests.

mod links;
mod model;
mod patterns;
mod scenario;

use std::time::Instant;

use coltsfootport_core::workspace::{EntryQuotas, QuotaConfig};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smol_str::SmolStr;

use model::{Model, STEP};
use patterns::{partitions, patterns};
use scenario::{PARTITION_RUNS, PATTERN_RUNS, Partition, PartitionKind, Scenario, Summary, quota};

/// Guards against a workspace that exceeds its quota in a surge at the expense of others, and against refusals within a
/// quota.
#[test]
fn quotas_hold_over_the_fleet_and_refuse_little_that_is_allowed() {
    let mut failed = Vec::new();
    for (what, scenario, refused) in patterns() {
        let summary = Summary::of_runs(&scenario, PATTERN_RUNS);
        println!(
            "{what:45} over {:.2} refused {:.3} messages {:.2}",
            summary.max_load, summary.refused, summary.messages
        );
        if summary.max_load > 1.0 || summary.refused > refused {
            failed.push((what, summary));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a workspace exceeding its quota while nodes are partitioned off, or when they return.
#[test]
fn quotas_hold_while_nodes_are_cut_off() {
    let mut failed = Vec::new();
    for (what, scenario) in partitions() {
        let summary = Summary::of_runs(&scenario, PARTITION_RUNS);
        println!("{what:55} over {:.2}", summary.max_load);
        if summary.max_load > 1.0 {
            failed.push((what, summary.max_load));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a flood of claims from a node that is partitioned off: it has to wait before it requeues them.
#[test]
fn an_entry_that_reaches_no_home_waits_before_it_asks_again() {
    let cfg = QuotaConfig::default();
    let (name, quota, start) = (SmolStr::new("w"), quota(35.0), Instant::now());
    let mut entry = EntryQuotas::new(cfg, 0.5, start);
    let (mut claims, mut asked) = (0, 0);
    for step in 0..200 {
        let now = start + STEP * step;
        // The decision does not matter here.
        let _ = entry.admit(&name, quota, now);
        for claim in entry.take_claims(now) {
            claims += 1;
            asked = claim.usage.asked;
            entry.requeue_claim(&claim, now);
        }
    }
    assert!((5..=12).contains(&claims), "{claims} claims in 2 s");
    assert!(
        asked > 150,
        "the last claim counts only {asked} of 200 requests"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against exceeding the bound through any split of the fleet, loss of homes or restart, for any size and
    /// any demand up to eight times the usual. After a restart, requests arrive at once or after a warm-up.
    #[test]
    fn the_bound_holds_through_any_cut(
        nodes in 3_usize..80,
        per_second in 4.0_f64..300.0,
        factor in 1.0_f64..8.0,
        first in 0_usize..80,
        from in 0.0_f64..10.0,
        duration in 0.0_f64..10.0,
        lost_homes in 0_usize..4,
        restarts in prop::collection::vec(0.0_f64..14.0, 0..3),
        warmup_s in 0.0_f64..2.0,
        seed in any::<u64>(),
    ) {
        let usual = per_second / 1.6;
        let scenario = Scenario {
            nodes,
            quota: quota(per_second),
            demand: vec![(0.0, usual), (3.0, usual * factor), (11.0, usual)],
            lowered: None,
            split: Some((first, from, from + duration)),
            partitions: Vec::new(),
            lost_homes: Some((from, lost_homes)),
            restarts,
            warmup_s,
            seconds: 15.0,
        };
        let summary = Model::new(&scenario, seed).run();
        prop_assert!(summary.max_load <= 1.0, "{:?}", summary);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(33), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against exceeding the bound through partitions during a surge: two-way or one-way, healed and partitioned
    /// again.
    #[test]
    fn the_bound_holds_through_cuts_of_any_kind(
        nodes in prop::sample::select(vec![3_usize, 14, 58]),
        per_second in 4.0_f64..300.0,
        factor in 1.0_f64..8.0,
        surge_s in 2.0_f64..14.0,
        partitions in prop::collection::vec(any_partition(), 1..4),
        seed in any::<u64>(),
    ) {
        let usual = per_second / 1.6;
        let scenario = Scenario {
            nodes,
            quota: quota(per_second),
            demand: vec![(0.0, usual), (surge_s, usual * factor), (surge_s + 9.0, usual)],
            partitions,
            ..Scenario::default()
        };
        let summary = Model::new(&scenario, seed).run();
        prop_assert!(summary.max_load <= 1.0, "{:?}", summary);
    }
}

fn any_partition() -> impl Strategy<Value = Partition> {
    let kinds = vec![
        PartitionKind::Connected,
        PartitionKind::Isolated,
        PartitionKind::SendOnly,
        PartitionKind::ReceiveOnly,
    ];
    let kind = prop::sample::select(kinds);
    (0.05_f64..0.95, 0.0_f64..12.0, 0.2_f64..12.0, kind).prop_map(
        |(share, from, duration, kind)| Partition {
            share,
            from,
            until: from + duration,
            kind,
        },
    )
}
