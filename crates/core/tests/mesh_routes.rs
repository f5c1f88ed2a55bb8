//! Tests of routes, splits and configurations of a mesh.

use std::time::Duration;

use proptest::prelude::*;

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    CallerLimits, ConfigVersion, MeshConfig, MeshConfigError, Refusal, Repeat, Route,
    WeightedRoundRobin, WeightedService,
};
use coltsfootport_core::outcome::Outcome;

fn part(service: &str, weight: f64) -> WeightedService {
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
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_secs(1),
        rank: 1,
        services: vec![part("svc", 1.0)],
        max_attempts: 2,
        public: false,
    }
}

fn config(routes: Vec<Route>) -> Result<MeshConfig, MeshConfigError> {
    MeshConfig::new(ConfigVersion(1), routes, CallerLimits::default())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        found: Option<&'static str>,
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
            found: Some("short"),
        },
        Case {
            host: "a.example",
            path: "/x/y/1",
            found: Some("long"),
        },
        Case {
            host: "a.example",
            path: "/x/yz",
            found: Some("short"),
        },
        Case {
            host: "A.Example:8080",
            path: "/x/y/",
            found: Some("long"),
        },
        Case {
            host: "b.example",
            path: "/x/y/1",
            found: Some("other"),
        },
        Case {
            host: "b.example",
            path: "/y/",
            found: None,
        },
        Case {
            host: "c.example",
            path: "/x/",
            found: None,
        },
        Case {
            host: "a.example",
            path: "/x",
            found: None,
        },
        Case {
            host: "",
            path: "",
            found: None,
        },
    ];
    for case in cases {
        let found = config.find(case.host, case.path);
        let name = found.map(|(_, route)| route.name.as_str());
        assert_eq!(name, case.found, "{} {}", case.host, case.path);
    }
}

#[test]
fn faulty_configurations_are_refused_whole() {
    struct Case {
        name: &'static str,
        change: fn(&mut Route),
        error: MeshConfigError,
    }
    let cases = [
        Case {
            name: "prefix without its last slash",
            change: |route| route.prefix = "/x".into(),
            error: MeshConfigError::Prefix("r".into()),
        },
        Case {
            name: "no weight",
            change: |route| route.services = vec![part("svc", 0.0)],
            error: MeshConfigError::Weights("r".into()),
        },
        Case {
            name: "a weight that is no number",
            change: |route| route.services = vec![part("svc", f64::NAN)],
            error: MeshConfigError::Weights("r".into()),
        },
        Case {
            name: "no part",
            change: |route| route.services.clear(),
            error: MeshConfigError::Weights("r".into()),
        },
        Case {
            name: "no attempt",
            change: |route| route.max_attempts = 0,
            error: MeshConfigError::Attempts("r".into()),
        },
    ];
    for case in cases {
        let mut faulty = route("r", "a.example", "/x/");
        (case.change)(&mut faulty);
        assert_eq!(
            config(vec![faulty]).err(),
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

    /// Shares of a split must hold over the few hundred requests that one node sees, whatever the weights.
    #[test]
    fn a_split_keeps_its_weights(
        weights in proptest::collection::vec(0.0_f64..100.0, 2..6),
        phase in 0.0_f64..1.0,
    ) {
        prop_assume!(weights.iter().sum::<f64>() > 1.0);
        let parts: Vec<WeightedService> = weights
            .iter()
            .enumerate()
            .map(|(at, weight)| part(&format!("s{at}"), *weight))
            .collect();
        let total: f64 = weights.iter().sum();
        let mut split = WeightedRoundRobin::new(&parts, phase);
        let mut counts: Map<ServiceName, u32> = Map::default();
        let rounds = 300;
        for _ in 0..rounds {
            let service = split.next(&parts).expect("a part with weight");
            *counts.entry(service.clone()).or_default() += 1;
        }
        for part in &parts {
            let count = f64::from(counts.get(&part.service).copied().unwrap_or(0));
            let due = part.weight / total * f64::from(rounds);
            prop_assert!((count - due).abs() <= 3.0, "{} got {count}, due {due}", part.service);
        }
    }
}

/// The statuses by which callers know that a request never ran must not stand for anything else.
#[test]
fn a_promised_status_means_not_run() {
    for refusal in Refusal::ALL {
        let rule = refusal.rule();
        let promises = matches!(rule.status, 408 | 421 | 429 | 503);
        if promises {
            assert_eq!(rule.outcome, Outcome::NotRun, "{refusal:?}");
        }
        if rule.retry_after {
            assert!(promises, "{refusal:?} asks a caller back without a promise");
        }
        assert_eq!(refusal.is_not_run(), rule.outcome == Outcome::NotRun);
    }
}
