//! Goodput while targets of the last service name rate limits, under simulated load.

use crate::replay::{Deployment, KindSpec, Outcome, Pattern, Policy, replay};

/// Start and end of the limits in seconds.
const LIMITED_SPAN: (usize, usize) = (4, 12);

/// Seconds after which the limits have been noticed by all entries.
const SETTLING: usize = 1;

/// Hosts per service are four times this, requests per second a few thousand.
const SCALE: usize = 2;

/// External requests per second that can be served if the last service takes this many requests per second; the urgent
/// ones come first.
fn bound(deployment: &Deployment, taken: f64) -> f64 {
    let last = deployment.services.len() - 1;
    let share_of =
        |urgent: bool| move |kind: &KindSpec| f64::from(u8::from((kind.rank == 0) == urgent));
    let urgent = deployment.arrivals(last, share_of(true));
    let others = deployment.arrivals(last, share_of(false));
    let share = ((taken - urgent) / others).clamp(0.0, 1.0);
    let external = deployment.kinds.iter();
    external
        .map(|kind| kind.calm_rate_per_s * if kind.rank == 0 { 1.0 } else { share })
        .sum()
}

struct Case {
    name: &'static str,
    /// Share of the hosts that name a limit.
    hosts: f64,
    /// Limit as a share of a host's requests under calm load.
    limit: f64,
    /// Share of the requests that are served in time, of those that can be.
    goodput: f64,
    /// Share of the urgent requests that are served.
    urgent: f64,
}

const CASES: [Case; 4] = [
    Case {
        name: "one in four",
        hosts: 0.25,
        limit: 0.2,
        goodput: 0.95,
        urgent: 0.95,
    },
    Case {
        name: "half",
        hosts: 0.5,
        limit: 0.4,
        goodput: 0.95,
        urgent: 0.95,
    },
    Case {
        name: "all",
        hosts: 1.0,
        limit: 0.75,
        goodput: 0.9,
        urgent: 0.9,
    },
    Case {
        name: "all, by half",
        hosts: 1.0,
        limit: 0.5,
        goodput: 0.9,
        urgent: 0.9,
    },
];

/// Guards against limits of some targets that turn into refusals while others have room, and against limits of all that
/// are spent on requests which fail later.
#[test]
fn limited_targets_cost_no_more_than_their_limits_take() {
    let deployment = Deployment::chain().scaled(SCALE);
    let last = deployment.services.len() - 1;
    let hosts = deployment.services[last].hosts as f64;
    let policy = Policy {
        further_instances: 2,
        ..Policy::default()
    };
    let mut failures = Vec::new();
    for case in CASES {
        let arrivals = deployment.arrivals(last, |_| 1.0);
        let limited = (hosts * case.hosts) as usize;
        let limit = case.limit * arrivals / hosts;
        let (from, to) = LIMITED_SPAN;
        let pattern = Pattern {
            rate_limit: Some((limited, from as f64, to as f64, limit)),
            end: to as f64 + 2.0,
            ..Pattern::default()
        };
        // The others have room for all that the limited ones do not take.
        let taken = match limited < deployment.services[last].hosts {
            true => arrivals,
            false => arrivals * case.limit,
        };
        let bound = bound(&deployment, taken);
        let outcomes: Vec<Outcome> = (1..=2)
            .map(|seed| replay(&deployment, &pattern, &policy, seed))
            .collect();
        let span = (from + SETTLING, to);
        for outcome in &outcomes {
            println!("{}", outcome.table_row(case.name, span, bound));
        }
        let count = outcomes.len() as f64;
        let mean = |f: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(f).sum::<f64>() / count;
        let goodput = mean(&|outcome| outcome.goodput(span.0, span.1)) / bound;
        let urgent = mean(&|outcome| outcome.urgent_served_share(span.0, span.1));
        if goodput < case.goodput || urgent < case.urgent {
            failures.push(format!("{}: {goodput:.2}, urgent {urgent:.2}", case.name));
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}
