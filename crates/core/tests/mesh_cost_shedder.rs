//! Tests of the shares that are shed by cost.

use std::time::{Duration, Instant};

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    CostShedder, RouteWork, ServiceLevels, ShedShare, ShedderConfig, admitted_shares,
};
use smol_str::SmolStr;

struct Fixture {
    shedder: CostShedder,
    start: Instant,
}

impl Fixture {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            shedder: CostShedder::new(ShedderConfig::default(), start),
            start,
        }
    }

    /// Records answered requests of a route that used these services.
    fn answered(&mut self, route: &str, count: usize, used: &[(&str, f64)]) {
        let used: Vec<(ServiceName, f64)> = used
            .iter()
            .map(|(service, work)| ((*service).into(), *work))
            .collect();
        for _ in 0..count {
            let used = used.iter().map(|(service, work)| (service, *work));
            self.shedder.record_answered(&SmolStr::new(route), used);
        }
    }

    /// Reports a level until the average has reached it.
    fn constrained(&mut self, service: &str, level: f64) {
        for _ in 0..40 {
            self.shedder.report(&service.into(), level, self.start);
        }
    }

    fn share(&mut self, route: &str, at: Duration) -> Option<ShedShare> {
        let now = self.start + at;
        self.shedder.share(&SmolStr::new(route), 0, now)
    }

    /// Shares to shed of routes with as many requests each.
    fn shed<const N: usize>(&mut self, routes: [&str; N]) -> [f64; N] {
        for _ in 0..50 {
            for route in routes {
                self.share(route, Duration::ZERO);
            }
        }
        let later = Duration::from_millis(100);
        routes.map(|route| self.share(route, later).expect("known route").share)
    }
}

fn is_near(a: f64, b: f64) -> bool {
    (a - b).abs() < 0.01
}

/// Guards against shares that admit more work than the rank may have, starve the most expensive route, or treat routes
/// of about the same cost differently.
#[test]
fn the_most_expensive_work_is_shed_first() {
    struct Case {
        name: &'static str,
        /// Arrivals and cost of each route.
        routes: &'static [(f64, Option<f64>)],
        admitted: f64,
        shares: &'static [f64],
    }
    let cases = [
        Case {
            name: "all of it fits into the cut of the expensive route",
            routes: &[(10.0, Some(0.1)), (10.0, Some(0.4))],
            admitted: 0.8,
            shares: &[1.0, 0.75],
        },
        Case {
            name: "the expensive route is cut to half of the even share",
            routes: &[(10.0, Some(0.1)), (10.0, Some(0.4))],
            admitted: 0.5,
            shares: &[1.0, 0.375],
        },
        Case {
            name: "the rest is taken from the next one",
            routes: &[(10.0, Some(0.2)), (10.0, Some(0.4)), (10.0, Some(0.1))],
            admitted: 0.4,
            shares: &[0.5, 0.2, 1.0],
        },
        Case {
            name: "the only route has the even share",
            routes: &[(3.0, Some(0.1))],
            admitted: 0.3,
            shares: &[0.3],
        },
        Case {
            name: "similar costs",
            routes: &[(10.0, Some(0.1)), (10.0, Some(0.11))],
            admitted: 0.6,
            shares: &[0.6, 0.6],
        },
        Case {
            name: "no known costs",
            routes: &[(1.0, None), (9.0, None)],
            admitted: 0.6,
            shares: &[0.6, 0.6],
        },
        Case {
            name: "an unknown cost counts as the mean",
            routes: &[(10.0, Some(0.1)), (10.0, Some(0.5)), (10.0, None)],
            admitted: 0.9,
            shares: &[1.0, 0.82, 1.0],
        },
        Case {
            name: "nothing to shed",
            routes: &[(10.0, Some(0.1)), (10.0, Some(0.4))],
            admitted: 1.0,
            shares: &[1.0, 1.0],
        },
        Case {
            name: "no arrivals",
            routes: &[(0.0, Some(0.1)), (0.0, Some(0.4))],
            admitted: 0.5,
            shares: &[0.5, 0.5],
        },
        Case {
            name: "costs of zero",
            routes: &[(1.0, Some(0.0)), (1.0, Some(0.0))],
            admitted: 0.5,
            shares: &[0.5, 0.5],
        },
    ];
    for case in cases {
        let routes: Vec<RouteWork> = case
            .routes
            .iter()
            .map(|(arrivals, cost)| RouteWork {
                arrivals: *arrivals,
                cost: *cost,
            })
            .collect();
        let shares = admitted_shares(&routes, case.admitted);
        let as_expected = shares.iter().zip(case.shares).all(|(a, b)| is_near(*a, *b));
        assert!(as_expected, "{}: {shares:?}", case.name);
        assert!(
            shares.iter().all(|share| *share >= case.admitted / 2.0),
            "{}: {shares:?}",
            case.name
        );
    }
}

/// Guards against routes that are shed for services which they use rarely or not at all.
#[test]
fn only_services_on_the_path_count() {
    let mut fixture = Fixture::new();
    fixture.answered("cheap", 20, &[("first", 0.01), ("last", 0.1)]);
    fixture.answered("expensive", 20, &[("first", 0.01), ("last", 0.4)]);
    fixture.answered("none", 20, &[("first", 0.3)]);
    fixture.answered("rare", 96, &[("first", 0.01)]);
    fixture.answered("rare", 4, &[("first", 0.01), ("last", 0.4)]);
    fixture.constrained("last", 0.5);
    let shed = fixture.shed(["cheap", "expensive", "none", "rare"]);
    let expected = [0.0, 0.625, 0.0, 0.0];
    assert!(
        shed.iter().zip(expected).all(|(a, b)| is_near(*a, b)),
        "{shed:?}"
    );
    let binding = fixture.shedder.binding_service(&SmolStr::new("expensive"));
    let binding = binding.expect("a constrained service");
    assert_eq!(binding.service, "last".into());
    assert!(is_near(binding.cost.expect("a cost"), 0.4));
}

/// Guards against a short service being overlooked because it runs the requests itself, without any calls.
#[test]
fn the_first_service_counts() {
    let mut fixture = Fixture::new();
    fixture.answered("cheap", 20, &[("first", 0.1)]);
    fixture.answered("expensive", 20, &[("first", 0.4)]);
    fixture.constrained("first", 0.5);
    let shed = fixture.shed(["cheap", "expensive"]);
    assert!(is_near(shed[0], 0.0) && is_near(shed[1], 0.625), "{shed:?}");
}

/// Guards against requests that are refused for good once no replies arrive, against routes shed by costs that nobody
/// has told, and against forged values that outlast the next replies.
#[test]
fn missing_and_forged_reports_do_no_harm() {
    // Nothing is known about the path: the caller decides by the level of the route alone.
    let mut fixture = Fixture::new();
    fixture.constrained("last", 0.8);
    assert_eq!(fixture.share("new", Duration::ZERO), None);

    // No replies: the level decays.
    fixture.answered("new", 5, &[("last", 0.1)]);
    let shed = fixture.share("new", Duration::from_millis(100));
    assert!(shed.is_some_and(|shed| is_near(shed.share, 0.8)));
    let shed = fixture.share("new", Duration::from_secs(3));
    assert!(shed.is_some_and(|shed| shed.share == 0.0), "{shed:?}");

    // Hosts of an older version report no slot time.
    let mut fixture = Fixture::new();
    fixture.answered("cheap", 20, &[("last", 0.0)]);
    fixture.answered("expensive", 20, &[("last", 0.0)]);
    fixture.constrained("last", 0.5);
    let shed = fixture.shed(["cheap", "expensive"]);
    assert!(shed.iter().all(|share| is_near(*share, 0.5)), "{shed:?}");

    // Absurd costs cut a route to half of the even share at most; absurd levels are clamped.
    let mut fixture = Fixture::new();
    fixture.answered("cheap", 20, &[("last", 0.1)]);
    fixture.answered("forged", 20, &[("last", f64::INFINITY)]);
    fixture.answered("unreadable", 20, &[("last", f64::NAN)]);
    fixture.constrained("last", 0.5);
    let shed = fixture.shed(["cheap", "forged", "unreadable"]);
    assert!(shed.iter().all(|share| *share <= 0.75), "{shed:?}");

    let start = Instant::now();
    let mut levels = ServiceLevels::new(ShedderConfig::default());
    for level in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300] {
        levels.report(&"last".into(), level, start);
        let reported = levels.level(&"last".into(), start);
        assert!((0.0..=16.0).contains(&reported), "{reported}");
    }
}

/// Guards against the state of removed routes and services being kept and used.
#[test]
fn removed_routes_and_services_are_forgotten() {
    let mut fixture = Fixture::new();
    fixture.answered("kept", 20, &[("first", 0.1), ("last", 0.1)]);
    fixture.answered("removed", 20, &[("first", 0.1)]);
    fixture.constrained("last", 0.5);
    fixture.shedder.retain(
        |route| route.as_str() == "kept",
        |service| service.as_str() == "first",
    );
    assert_eq!(fixture.share("removed", Duration::ZERO), None);
    let shed = fixture.share("kept", Duration::ZERO);
    assert!(shed.is_some_and(|shed| shed.share == 0.0), "{shed:?}");
}
