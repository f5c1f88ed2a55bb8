//! Counts of quota decisions.

use std::time::Instant;

use coltsfootport_core::workspace::{
    EntryQuotas, HomeQuotas, Quota, QuotaBasis, QuotaBound, QuotaConfig, QuotaTally,
};
use smol_str::SmolStr;

const QUOTA: Quota = Quota {
    per_second: 10.0,
    burst: 10.0,
};

/// Guards against an exceeded quota that logs and metrics don't explain: each decision is counted once, under its
/// basis.
#[test]
fn decisions_of_an_entry_are_counted_by_what_they_went_by() {
    let (name, start) = (SmolStr::new("w"), Instant::now());
    let cfg = QuotaConfig::default();
    let mut entry = EntryQuotas::new(cfg, 0.9, start);
    let started = start + cfg.startup_period;
    assert!(entry.admit(&name, QUOTA, started).is_ok());
    let claims = entry.take_claims(started + cfg.report_delay);
    entry.requeue_claim(&claims[0], started);
    let _ = entry.admit(&name, QUOTA, started);

    let read = |entry: &mut EntryQuotas| -> Vec<QuotaTally> {
        entry.take_tallies().map(|(_, tally)| tally).collect()
    };
    let counted = read(&mut entry);
    assert_eq!(counted.len(), 1);
    assert_eq!(counted[0].admitted(QuotaBasis::NoVerdict), 1);
    let alone = counted[0].admitted(QuotaBasis::Alone) + counted[0].refused(QuotaBasis::Alone);
    assert_eq!(alone, 1);
    assert!(read(&mut entry).is_empty(), "decisions were counted twice");
}

/// Guards against an exceeded quota that logs and metrics don't explain: a home counts each claim once.
#[test]
fn claims_of_a_home_are_counted_once() {
    let (name, start) = (SmolStr::new("w"), Instant::now());
    let mut home = HomeQuotas::new(QuotaBound::default(), start);
    home.apply_claim(&name, QUOTA, 3.0, 2.0, start);
    home.apply_claim(&name, QUOTA, 1.0, 1.0, start);
    let counted: Vec<_> = home.take_tallies().collect();
    assert_eq!(counted.len(), 1);
    assert_eq!(
        (counted[0].claims, counted[0].asked, counted[0].used),
        (2, 4.0, 3.0)
    );
    assert_eq!(home.take_tallies().count(), 0);
}
