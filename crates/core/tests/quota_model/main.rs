//! Quotas over a whole fleet in virtual time: entries, homes, and links that are cut.
//!
//! Counted is what really ran in any window of five seconds, over all entries, in touch or not. The bound is the one that
//! operators are promised: a quarter above the quota, and twenty requests.

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
use patterns::{cuts, patterns};
use scenario::{CUT_PLAYS, Cut, CutKind, Found, PLAYS, Scenario, quota};

/// Guards against a hot workspace that takes the room of others, and against refusals within a quota.
#[test]
fn quotas_hold_over_the_fleet_and_refuse_little_that_is_allowed() {
    let mut failed = Vec::new();
    for (what, scenario, refused) in patterns() {
        let found = Found::over(&scenario, PLAYS);
        println!(
            "{what:45} over {:.2} refused {:.3} messages {:.2}",
            found.over, found.refused, found.messages
        );
        if found.over > 1.0 || found.refused > refused {
            failed.push((what, found));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a workspace that runs beyond its quota while nodes are cut off, or as they come back.
#[test]
fn quotas_hold_while_nodes_are_cut_off() {
    let mut failed = Vec::new();
    for (what, scenario) in cuts() {
        let found = Found::over(&scenario, CUT_PLAYS);
        println!("{what:55} over {:.2}", found.over);
        if found.over > 1.0 {
            failed.push((what, found.over));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a flood of claims from a node that is cut off.
#[test]
fn an_entry_that_reaches_no_home_waits_before_it_asks_again() {
    let cfg = QuotaConfig::default();
    let (name, quota, start) = (SmolStr::new("w"), quota(35.0), Instant::now());
    let mut entry = EntryQuotas::new(cfg, 0.5, start);
    let (mut words, mut asked) = (0, 0);
    for step in 0..200 {
        let now = start + STEP * step;
        // Whether it is admitted does not matter here.
        let _ = entry.admit(&name, quota, now);
        for claim in entry.take_claims(now) {
            words += 1;
            asked = claim.usage.asked;
            entry.requeue_claim(&claim, now);
        }
    }
    assert!((5..=12).contains(&words), "{words} words in 2 s");
    assert!(asked > 150, "the last word tells all of them, not {asked}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any cut, loss or restart, any size and any demand up to eight times the usual. After a restart requests come at once, or
    /// when nodes have been ready for a while.
    #[test]
    fn the_bound_holds_through_any_cut(
        nodes in 3_usize..80,
        per_second in 4.0_f64..300.0,
        times in 1.0_f64..8.0,
        first in 0_usize..80,
        from in 0.0_f64..10.0,
        lasts in 0.0_f64..10.0,
        lost in 0_usize..4,
        restarts in prop::collection::vec(0.0_f64..14.0, 0..3),
        warm_s in 0.0_f64..2.0,
        seed in any::<u64>(),
    ) {
        let usual = per_second / 1.6;
        let scenario = Scenario {
            nodes,
            quota: quota(per_second),
            demand: vec![(0.0, usual), (3.0, usual * times), (11.0, usual)],
            lowered: None,
            cut: Some((first, from, from + lasts)),
            cuts: Vec::new(),
            lost: Some((from, lost)),
            restarts,
            warm_s,
            seconds: 15.0,
        };
        let found = Model::new(&scenario, seed).run();
        prop_assert!(found.over <= 1.0, "{:?}", found);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(33), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against cuts within a surge, together, one-way, healed and cut again.
    #[test]
    fn the_bound_holds_through_cuts_of_any_kind(
        nodes in prop::sample::select(vec![3_usize, 14, 58]),
        per_second in 4.0_f64..300.0,
        times in 1.0_f64..8.0,
        surge_s in 2.0_f64..14.0,
        cuts in prop::collection::vec(any_cut(), 1..4),
        seed in any::<u64>(),
    ) {
        let usual = per_second / 1.6;
        let scenario = Scenario {
            nodes,
            quota: quota(per_second),
            demand: vec![(0.0, usual), (surge_s, usual * times), (surge_s + 9.0, usual)],
            cuts,
            ..Scenario::default()
        };
        let found = Model::new(&scenario, seed).run();
        prop_assert!(found.over <= 1.0, "{:?}", found);
    }
}

fn any_cut() -> impl Strategy<Value = Cut> {
    let kinds = vec![
        CutKind::Together,
        CutKind::Alone,
        CutKind::Deaf,
        CutKind::Mute,
    ];
    let kind = prop::sample::select(kinds);
    (0.05_f64..0.95, 0.0_f64..12.0, 0.2_f64..12.0, kind).prop_map(|(share, from, lasts, kind)| {
        Cut {
            share,
            from,
            until: from + lasts,
            kind,
        }
    })
}
