//! Tests of the budget for repeats that all nodes of a mesh share.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Downstream, RetryBudget, RetryBudgetConfig};

const WINDOW: Duration = Duration::from_secs(10);

/// One second of one node: first requests, and repeats that it would like to send.
type Second = (u8, u8);

/// Repeats sent in each second by all nodes that see the same traffic.
fn play(nodes: usize, seconds: &[Second], cfg: RetryBudgetConfig) -> (Vec<f64>, Vec<f64>) {
    let service = ServiceName::from("svc");
    let start = Instant::now();
    let mut budgets = vec![RetryBudget::new(cfg); nodes];
    let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
    for budget in &mut budgets {
        budget.set_nodes(nodes);
    }
    for (second, (requests, wishes)) in (0..).zip(seconds) {
        let now = start + Duration::from_secs(second);
        let mut sent = 0.0;
        for budget in &mut budgets {
            for _ in 0..*requests {
                budget.deposit(&service, 1.0, now);
            }
            for _ in 0..*wishes {
                sent += f64::from(u8::from(budget.try_withdraw(
                    &[(service.clone(), 1.0)],
                    0.0,
                    now,
                )));
            }
        }
        firsts.push(f64::from(*requests) * nodes as f64);
        repeats.push(sent);
    }
    (firsts, repeats)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the traffic and however much nodes would like to repeat, all of them together stay within the bound of
    /// every window.
    #[test]
    fn all_nodes_together_stay_within_the_bound(
        nodes in 1_usize..30,
        seconds in proptest::collection::vec((0_u8..40, 0_u8..60), 10..60),
    ) {
        let cfg = RetryBudgetConfig::default();
        let (firsts, repeats) = play(nodes, &seconds, cfg);
        let window = WINDOW.as_secs() as usize;
        for end in window..=repeats.len() {
            let spent: f64 = repeats[end - window..end].iter().sum();
            let requests: f64 = firsts[end - window..end].iter().sum();
            let before: f64 = firsts[end.saturating_sub(2 * window)..end - window].iter().sum();
            let bound = cfg.ratio * requests.max(before) + cfg.slack;
            prop_assert!(spent <= bound, "{spent} repeats, {bound} allowed");
        }
    }
}

/// Symptom: with a tenth of the targets broken nearly every lost answer reaches the caller, although repeats are allowed.
/// Sequence: a node earns for each request; what it may hold is bounded by its part of the slack, about one.
/// Cause: the bound did not grow with what was earned.
#[test]
fn what_was_earned_can_be_spent() {
    let seconds = vec![(20, 2); 30];
    let (_, repeats) = play(13, &seconds, RetryBudgetConfig::default());
    let last: f64 = repeats[20..].iter().sum();
    let wished = 2.0 * 13.0 * 10.0;
    assert!(
        last >= 0.95 * wished,
        "{last} of {wished} repeats were sent"
    );
}

#[test]
fn a_repeat_is_sent_only_where_every_service_below_has_room() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    budget.set_nodes(13);
    let (top, bottom) = (ServiceName::from("top"), ServiceName::from("bottom"));
    for _ in 0..50 {
        budget.deposit(&top, 1.0, now);
    }
    let before = budget.balance(&top, now);
    let costs = [(top.clone(), 1.0), (bottom.clone(), 8.0)];
    assert!(
        !budget.try_withdraw(&costs, 0.0, now),
        "nothing was earned below"
    );
    assert_eq!(
        budget.balance(&top, now),
        before,
        "nothing is taken by halves"
    );
    for _ in 0..200 {
        budget.deposit(&bottom, 1.0, now);
    }
    assert!(budget.try_withdraw(&costs, 0.0, now));
}

#[test]
fn what_a_run_causes_is_learnt() {
    let mut below = Downstream::default();
    let service = ServiceName::from("bottom");
    for _ in 0..60 {
        below.record([(&service, 8)]);
    }
    let learnt: Vec<f64> = below.iter().map(|(_, mean)| mean).collect();
    assert!((7.5..=8.0).contains(&learnt[0]), "{learnt:?}");
}

/// Symptom: while all targets of a deep service turn requests away, bids fail although they are few.
/// Sequence: repeats for the many reads use the budget as fast as it is earned; a repeat for a bid finds nothing.
/// Cause: the budget knew no urgency.
#[test]
fn urgent_repeats_find_something_left() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    budget.set_nodes(13);
    let service = ServiceName::from("svc");
    for _ in 0..200 {
        budget.deposit(&service, 1.0, now);
    }
    let costs = [(service, 1.0)];
    while budget.try_withdraw(&costs, 0.6, now) {}
    assert!(
        budget.try_withdraw(&costs, 0.0, now),
        "less urgent ones took all"
    );
}

/// Symptom: a service goes on repeating as much as its old settings allowed until each of its nodes is restarted.
/// Sequence: an operator lowers the ratio of repeats; the node reads the file again and says that it did.
/// Cause: the budget kept the bounds of its start.
#[test]
fn changed_bounds_hold_at_once() {
    let (service, now) = (ServiceName::from("svc"), Instant::now());
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    let none = RetryBudgetConfig {
        ratio: 0.0,
        slack: 0.0,
        ..Default::default()
    };
    budget.set_config(none);
    for _ in 0..1000 {
        budget.deposit(&service, 1.0, now);
    }
    let cost = [(service, 1.0)];
    let sent = (0..100)
        .filter(|_| budget.try_withdraw(&cost, 0.0, now))
        .count();
    assert!(
        sent <= 1,
        "{sent} repeats beyond the one that each node may save up"
    );
}
