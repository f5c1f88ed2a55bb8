//! Requests served while routes of one rank differ in their cost at a short service, under simulated load.

use crate::replay::{Deployment, Outcome, Pattern, Policy, replay};

/// Multiple of the calm load at which the demand on the short service is twice its capacity.
const LOAD: f64 = 3.3;

/// Share of its requests that a route keeps if none is cut below half of the admitted share of one half; an eighth less
/// allows for requests that are refused for other reasons.
const MIN_KEPT: f64 = 0.25 * 7.0 / 8.0;

/// Guards against many cheap requests being refused for the sake of a few expensive ones of the same rank, against the
/// expensive ones being starved, and against requests being refused that do not use the constrained service.
#[test]
fn cheap_requests_are_served_before_expensive_ones_of_their_rank() {
    let pattern = Pattern {
        surges: vec![(2.0, 30.0, LOAD)],
        end: 30.0,
        ..Pattern::default()
    };
    let on = Policy::default();
    let off = Policy {
        cost_admission: false,
        ..Policy::default()
    };
    // With 56 nodes, an entry node gets few requests of a route per second.
    for (scale, seed) in [(1, 1), (1, 2), (8, 3)] {
        let deployment = Deployment::two_costs().scaled(scale);
        let results = [("by cost", &on), ("alike", &off)].map(|(name, policy)| {
            let outcome = replay(&deployment, &pattern, policy, seed);
            println!(
                "{name:<8} served {:?} of cheap, expensive, other; wasted {:.3}",
                shares(&outcome),
                outcome.wasted_share()
            );
            outcome
        });
        let [by_cost, alike] = &results;
        let [cheap, expensive, other] = shares(by_cost);
        // The cheap requests need 19 of 30 slots.
        assert!(cheap >= 0.9, "{cheap}");
        assert!(expensive >= MIN_KEPT, "{expensive}");
        assert!(other >= 0.99, "{other}");
        // Half of all requests can be served if routes are cut alike; all cheap and a quarter of the others otherwise.
        let (by_cost, alike) = (served(by_cost), served(alike));
        assert!(by_cost >= 1.3 * alike, "{by_cost} {alike}");
    }
}

/// Guards against requests being shed, or served differently, where no service is constrained.
#[test]
fn cost_changes_nothing_without_a_constrained_service() {
    let deployment = Deployment::chain();
    let pattern = Pattern {
        end: 12.0,
        ..Pattern::default()
    };
    let [on, off] = [true, false].map(|cost_admission| {
        let policy = Policy {
            cost_admission,
            ..Policy::default()
        };
        replay(&deployment, &pattern, &policy, 1)
    });
    assert_eq!(on.refusals, (0, 0));
    assert_eq!(on.kinds, off.kinds);
}

/// Shares of the requests of each route that were served in time.
fn shares(outcome: &Outcome) -> [f64; 3] {
    let share = |kind: usize| {
        let (arrived, on_time) = outcome.kinds[kind];
        f64::from(on_time) / f64::from(arrived)
    };
    [share(0), share(1), share(2)]
}

/// Requests to the short service that were served in time.
fn served(outcome: &Outcome) -> f64 {
    f64::from(outcome.kinds[0].1 + outcome.kinds[1].1)
}
