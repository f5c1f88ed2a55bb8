//! What an entry lets run of a workspace while homes don't hear it.

use std::time::{Duration, Instant};

use coltsfootport_core::workspace::{EntryQuotas, Quota, QuotaConfig, Verdict};
use smol_str::SmolStr;

const QUOTA: Quota = Quota {
    per_second: 40.0,
    burst: 40.0,
};

const STEP: Duration = Duration::from_millis(10);

/// A home at whose word everything would run.
const GENEROUS: Verdict = Verdict {
    rate: 1000.0,
    saved: 0.0,
    max_saved: 0.0,
    demand: 1.0,
};

/// A home that is owed more than its rate.
const OWED: Verdict = Verdict {
    rate: 100.0,
    saved: -400.0,
    max_saved: 0.0,
    demand: 300.0,
};

/// A home with as much saved as the other is owed.
const SAVED: Verdict = Verdict {
    rate: 100.0,
    saved: 300.0,
    max_saved: 400.0,
    demand: 100.0,
};

fn entry(start: Instant) -> EntryQuotas {
    let mut entry = EntryQuotas::new(QuotaConfig::default(), 0.5, start);
    entry.set_node_count(10);
    entry
}

/// Requests that are let run of one each step, while each step's claims are confirmed or not.
fn let_run(entry: &mut EntryQuotas, from: Instant, steps: u32, confirmed: bool) -> usize {
    let name = SmolStr::new("w");
    let mut ran = 0;
    for step in 0..steps {
        let now = from + STEP * step;
        ran += usize::from(entry.admit(&name, QUOTA, now).is_ok());
        for claim in entry.take_claims(now) {
            if confirmed {
                entry.node_answered(now);
                entry.confirm_claim(&claim, 0, GENEROUS, now);
            }
        }
    }
    ran
}

/// Guards against requests that no home counts: notices of homes don't show that they hear the entry.
#[test]
fn notices_alone_let_nothing_run_for_long() {
    let start = Instant::now();
    let mut entry = entry(start);
    let started = start + QuotaConfig::default().startup_period;
    assert_eq!(let_run(&mut entry, started, 100, true), 100);
    let from = started + STEP * 100;
    let mut ran = 0;
    for step in 0..400 {
        let now = from + STEP * step;
        entry.apply_verdict(&"w".into(), 0, GENEROUS, now);
        ran += let_run(&mut entry, now, 1, false);
    }
    assert!(ran < 100, "{ran} of 400 ran that no home has counted");
}

/// Guards against one home that is owed requests being outweighed by another that few claims reach.
#[test]
fn debts_of_one_home_count_against_savings_of_another() {
    let sum = Verdict::sum([OWED, SAVED]).expect("a verdict");
    let mean = (OWED.share() + SAVED.share()) / 2.0;
    assert!((mean - 0.5).abs() < 1e-9, "{mean}");
    assert!(sum.share() <= 0.3, "{}", sum.share());
}
