//! Requests that an entry admits while its claims don't reach the homes.

use std::time::{Duration, Instant};

use coltsfootport_core::workspace::{EntryQuotas, Quota, QuotaConfig, Verdict};
use smol_str::SmolStr;

const QUOTA: Quota = Quota {
    per_second: 40.0,
    burst: 40.0,
};

const STEP: Duration = Duration::from_millis(10);

/// Verdict that admits every request.
const ADMIT_ALL: Verdict = Verdict {
    rate: 1000.0,
    saved: 0.0,
    max_saved: 0.0,
    demand: 1.0,
};

/// Verdict of a home with a debt larger than its rate.
const IN_DEBT: Verdict = Verdict {
    rate: 100.0,
    saved: -400.0,
    max_saved: 0.0,
    demand: 300.0,
};

/// Verdict of a home with savings, smaller than the debt of [`IN_DEBT`].
const WITH_SAVINGS: Verdict = Verdict {
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

/// Offers one request per step and returns how many are admitted. Claims are either confirmed in the same step or lost.
fn count_admitted(entry: &mut EntryQuotas, from: Instant, steps: u32, confirmed: bool) -> usize {
    let name = SmolStr::new("w");
    let mut admitted = 0;
    for step in 0..steps {
        let now = from + STEP * step;
        admitted += usize::from(entry.admit(&name, QUOTA, now).is_ok());
        for claim in entry.take_claims(now) {
            if confirmed {
                entry.node_answered(now);
                entry.confirm_claim(&claim, 0, ADMIT_ALL, now);
            }
        }
    }
    admitted
}

/// Guards against admitting requests that no home counts: notices of a home arrive although the claims to it are lost.
#[test]
fn notices_alone_let_nothing_run_for_long() {
    let start = Instant::now();
    let mut entry = entry(start);
    let started = start + QuotaConfig::default().startup_period;
    assert_eq!(count_admitted(&mut entry, started, 100, true), 100);
    let from = started + STEP * 100;
    let mut admitted = 0;
    for step in 0..400 {
        let now = from + STEP * step;
        entry.apply_verdict(&"w".into(), 0, ADMIT_ALL, now);
        admitted += count_admitted(&mut entry, now, 1, false);
    }
    assert!(
        admitted < 100,
        "{admitted} of 400 admitted without a confirmed claim"
    );
}

/// Guards against the debt of one home being outweighed by another home that receives few claims.
#[test]
fn debts_of_one_home_count_against_savings_of_another() {
    let sum = Verdict::sum([IN_DEBT, WITH_SAVINGS]).expect("two verdicts");
    let mean = (IN_DEBT.share() + WITH_SAVINGS.share()) / 2.0;
    assert!((mean - 0.5).abs() < 1e-9, "{mean}");
    assert!(sum.share() <= 0.3, "{}", sum.share());
}
