//! Tests of routes, traffic splits, configurations and refusals of a mesh.

use std::time::Duration;

use proptest::prelude::*;

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    CallerLimits, ConfigVersion, Idempotency, MeshConfig, MeshConfigError, Refusal, Route,
    WeightedRoundRobin, WeightedService,
};
use coltsfootport_core::outcome::Outcome;

fn weighted(service: &str, weight: f64) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_secs(1),
        rank: 1,
        services: vec![weighted("svc", 1.0)],
        large_bodies: Default::default(),
        max_attempts: 2,
        public: false,
    }
}

fn config(routes: Vec<Route>) -> Result<MeshConfig, MeshConfigError> {
    MeshConfig::new(ConfigVersion(1), routes, CallerLimits::default())
}

#[test]
fn route_with_the_longest_matching_prefix_is_found() {
    struct Case {
        host: &'static str,
        path: &'static str,
        expected: Option<&'static str>,
    }
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let config = config(routes).expect("valid");
    let cases = [
        Case {
            host: "a.example",
            path: "/x/1",
            expected: Some("short"),
        },
        Case {
            host: "a.example",
            path: "/x/y/1",
            expected: Some("long"),
        },
        Case {
            host: "a.example",
            path: "/x/yz",
            expected: Some("short"),
        },
        Case {
            host: "A.Example:8080",
            path: "/x/y/",
            expected: Some("long"),
        },
        Case {
            host: "b.example",
            path: "/x/y/1",
            expected: Some("other"),
        },
        Case {
            host: "b.example",
            path: "/y/",
            expected: None,
        },
        Case {
            host: "c.example",
            path: "/x/",
            expected: None,
        },
        Case {
            host: "a.example",
            path: "/x",
            expected: None,
        },
        Case {
            host: "",
            path: "",
            expected: None,
        },
    ];
    for case in cases {
        let found = config.find(case.host, case.path);
        let name = found.map(|(_, route)| route.name.as_str());
        assert_eq!(name, case.expected, "{} {}", case.host, case.path);
    }
}

#[test]
fn invalid_configurations_are_rejected() {
    struct Case {
        name: &'static str,
        change: fn(&mut Route),
        error: MeshConfigError,
    }
    let cases = [
        Case {
            name: "prefix without trailing slash",
            change: |route| route.prefix = "/x".into(),
            error: MeshConfigError::Prefix("r".into()),
        },
        Case {
            name: "zero weight",
            change: |route| route.services = vec![weighted("svc", 0.0)],
            error: MeshConfigError::Weights("r".into()),
        },
        Case {
            name: "weight is NaN",
            change: |route| route.services = vec![weighted("svc", f64::NAN)],
            error: MeshConfigError::Weights("r".into()),
        },
        Case {
            name: "no service",
            change: |route| route.services.clear(),
            error: MeshConfigError::Weights("r".into()),
        },
        Case {
            name: "no attempts",
            change: |route| route.max_attempts = 0,
            error: MeshConfigError::Attempts("r".into()),
        },
    ];
    for case in cases {
        let mut invalid = route("r", "a.example", "/x/");
        (case.change)(&mut invalid);
        assert_eq!(
            config(vec![invalid]).err(),
            Some(case.error),
            "{}",
            case.name
        );
    }
    let twice = vec![route("r", "a", "/x/"), route("r", "b", "/x/")];
    assert_eq!(
        config(twice).err(),
        Some(MeshConfigError::DuplicateName("r".into()))
    );
}

#[test]
fn the_least_urgent_rank_is_shed_first() {
    let ranked = |name: &str, rank| Route {
        rank,
        ..route(name, "a.example", &format!("/{name}/"))
    };
    let config = config(vec![
        ranked("bids", 0),
        ranked("pages", 1),
        ranked("lists", 4),
    ]);
    let config = config.expect("valid");
    let orders: Vec<usize> = [4, 1, 0].map(|rank| config.shed_order(rank)).into();
    assert_eq!(orders, [0, 1, 2]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// The shares of a traffic split must match its weights within the few hundred requests that one node sees.
    #[test]
    fn weighted_selection_follows_its_weights(
        weights in proptest::collection::vec(0.0_f64..100.0, 2..6),
        phase in 0.0_f64..1.0,
    ) {
        prop_assume!(weights.iter().sum::<f64>() > 1.0);
        let services: Vec<WeightedService> = weights
            .iter()
            .enumerate()
            .map(|(at, weight)| weighted(&format!("s{at}"), *weight))
            .collect();
        let total: f64 = weights.iter().sum();
        let mut selection = WeightedRoundRobin::new(&services, phase);
        let mut counts: Map<ServiceName, u32> = Map::default();
        let rounds = 300;
        for _ in 0..rounds {
            let service = selection.next(&services).expect("a service with a weight");
            *counts.entry(service.clone()).or_default() += 1;
        }
        for service in &services {
            let count = f64::from(counts.get(&service.service).copied().unwrap_or(0));
            let expected = service.weight / total * f64::from(rounds);
            prop_assert!(
                (count - expected).abs() <= 3.0,
                "{} was selected {count} times, expected {expected}",
                service.service
            );
        }
    }
}

/// Callers rely on some status codes to mean that a request did not run, so no other outcome may use them.
#[test]
fn status_codes_that_promise_not_run_have_no_other_outcome() {
    for refusal in Refusal::ALL {
        let rule = refusal.rule();
        let promises = matches!(rule.status, 408 | 421 | 429 | 503);
        if promises {
            assert_eq!(rule.outcome, Outcome::NotRun, "{refusal:?}");
        }
        if rule.retry_after {
            assert!(
                promises,
                "{refusal:?} tells the caller to retry without promising that it did not run"
            );
        }
        assert_eq!(refusal.is_not_run(), rule.outcome == Outcome::NotRun);
    }
}
