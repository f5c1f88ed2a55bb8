//! Tests of the retry budget shared by all nodes of a mesh.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Downstream, RetryBudget, RetryBudgetConfig};

const WINDOW: Duration = Duration::from_secs(10);

/// Traffic of one node in one second: first attempts, and retries that it tries to send.
type Second = (u8, u8);

/// Simulates nodes with equal traffic. Returns the first attempts and the retries sent by all of them in each second.
fn simulate(nodes: usize, seconds: &[Second], cfg: RetryBudgetConfig) -> (Vec<f64>, Vec<f64>) {
    let service = ServiceName::from("svc");
    let start = Instant::now();
    let mut budgets = vec![RetryBudget::new(cfg); nodes];
    let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
    for budget in &mut budgets {
        budget.set_nodes(nodes);
    }
    for (second, (requests, wanted)) in (0..).zip(seconds) {
        let now = start + Duration::from_secs(second);
        let mut sent = 0.0;
        for budget in &mut budgets {
            for _ in 0..*requests {
                budget.deposit(&service, 1.0, now);
            }
            for _ in 0..*wanted {
                sent += f64::from(u8::from(budget.try_withdraw(
                    &[(service.clone(), 1.0)],
                    0.0,
                    now,
                )));
            }
        }
        first_attempts.push(f64::from(*requests) * nodes as f64);
        retries.push(sent);
    }
    (first_attempts, retries)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the traffic and the number of retries wanted, the retries of all nodes stay within the bound of every
    /// window.
    #[test]
    fn all_nodes_together_stay_within_the_bound(
        nodes in 1_usize..30,
        seconds in proptest::collection::vec((0_u8..40, 0_u8..60), 10..60),
    ) {
        let cfg = RetryBudgetConfig::default();
        let (first_attempts, retries) = simulate(nodes, &seconds, cfg);
        let window = WINDOW.as_secs() as usize;
        for end in window..=retries.len() {
            let sent: f64 = retries[end - window..end].iter().sum();
            let requests: f64 = first_attempts[end - window..end].iter().sum();
            let previous_window = end.saturating_sub(2 * window)..end - window;
            let before: f64 = first_attempts[previous_window].iter().sum();
            let bound = cfg.ratio * requests.max(before) + cfg.slack;
            prop_assert!(sent <= bound, "{sent} retries sent, {bound} allowed");
        }
    }
}

/// Guards against a bucket capacity that does not grow with the deposits. It was bounded by the node's share of the
/// slack, about one token, so with a tenth of the targets broken nearly every lost response reached the caller although
/// retries were within the bound.
#[test]
fn deposited_tokens_can_be_withdrawn() {
    let seconds = vec![(20, 2); 30];
    let (_, retries) = simulate(13, &seconds, RetryBudgetConfig::default());
    let last: f64 = retries[20..].iter().sum();
    let wanted = 2.0 * 13.0 * 10.0;
    assert!(
        last >= 0.95 * wanted,
        "{last} of {wanted} retries were sent"
    );
}

#[test]
fn retry_needs_tokens_of_every_downstream_service() {
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
        "no deposits for the downstream service"
    );
    assert_eq!(
        budget.balance(&top, now),
        before,
        "a failed withdrawal leaves all buckets unchanged"
    );
    for _ in 0..200 {
        budget.deposit(&bottom, 1.0, now);
    }
    assert!(budget.try_withdraw(&costs, 0.0, now));
}

#[test]
fn mean_number_of_downstream_requests_is_tracked() {
    let mut downstream = Downstream::default();
    let service = ServiceName::from("bottom");
    for _ in 0..60 {
        downstream.record([(&service, 8)]);
    }
    let means: Vec<f64> = downstream.iter().map(|(_, mean)| mean).collect();
    assert!((7.5..=8.0).contains(&means[0]), "{means:?}");
}

/// Guards against a budget that ignores urgency. While all targets of a deep service refuse requests, retries of many
/// less urgent requests use up the tokens as fast as they are deposited, and the few urgent requests fail without a
/// retry.
#[test]
fn reserve_keeps_tokens_for_urgent_retries() {
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
        "less urgent retries must leave the reserve"
    );
}

/// Guards against a budget that keeps the bounds of its start. After an operator lowers the retry ratio and the node
/// reloads its settings, the old ratio would apply until the node is restarted.
#[test]
fn changed_bounds_apply_immediately() {
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
        "{sent} retries sent, only the one of the minimum capacity is allowed"
    );
}
