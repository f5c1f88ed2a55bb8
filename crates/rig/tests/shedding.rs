//! Calls of the most important class are shed last.

#[path = "common/flow.rs"]
mod flow;

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::load::{self, ClassReport, LoadPlan, LoadReport, Stage};
use coltsfootport_rig::target::Settings;
use serde_json::json;

/// Failure domains, one for each instance of a service.
const DOMAINS: [&str; 2] = ["a", "b"];

/// Calls a second that all targets of the bottleneck service serve together.
const CAPACITY: f64 = 200.0;

/// Bids a second: a fifth of the capacity, so that all of them fit into the slots.
const BID_RATE: f64 = 40.0;

/// Duration of a surge in seconds.
const SURGE_SECONDS: f64 = 2.5;

/// One in this many bids may fail for a reason other than shedding, such as a client timeout on a busy machine.
const BIDS_PER_ALLOWED_LOSS: u64 = 50;

/// The demand and the position of the bottleneck service.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Demand at the entries as a multiple of the capacity.
    demand: f64,
    /// Whether the bottleneck is the downstream service; otherwise it is the called service.
    deep: bool,
    /// Whether the bottleneck targets report that they are healthy and idle, whatever their load.
    false_health: bool,
}

fn bottleneck(case: &Case) -> Settings {
    // 2 targets with 4 slots each and a service time of 40 ms serve 200 calls a second.
    let load_factor = if case.false_health { 0.0 } else { 1.0 };
    Settings {
        slots: 4,
        service_ms: 40.0,
        load_factor,
        ..Settings::default()
    }
}

async fn start(case: &Case) -> Fleet {
    let ample = Settings {
        slots: 100,
        service_ms: 5.0,
        ..Settings::default()
    };
    let (front, deep) = match case.deep {
        true => (ample, bottleneck(case)),
        false => (bottleneck(case), ample),
    };
    let front = Settings {
        downstream: vec!["GET /deep/x".parse().expect("a call")],
        ..front
    };
    let services = [("front", front), ("deep", deep)].map(|(name, target)| ServicePlan {
        target,
        ..ServicePlan::new(name, &DOMAINS)
    });
    let plan = FleetPlan {
        services: services.into(),
        node: json!({ "admission": { "cold_start_ms": 0 } }),
        ..FleetPlan::default()
    };
    Fleet::start(plan).await.expect("a fleet")
}

/// Runs the load of a case and returns its report.
async fn run_surge(fleet: &Fleet, case: &Case) -> LoadReport {
    let others = CAPACITY * case.demand - BID_RATE;
    let operation = |text: &str, rate: f64| {
        let text = format!("{text} weight={}", rate.round());
        text.parse().expect("an operation")
    };
    let plan = LoadPlan {
        entries: fleet
            .of_service("front")
            .map(|member| member.addresses.callers)
            .collect(),
        stages: vec![Stage {
            rate: CAPACITY * case.demand,
            seconds: SURGE_SECONDS,
        }],
        operations: vec![
            operation("POST /front/bids class=bid non-idempotent", BID_RATE),
            operation("GET /front/pages class=browse", others / 2.0),
            operation("GET /front/lookup class=lookup", others / 2.0),
        ],
        key_prefix: case.name.into(),
        seed: 11,
        ..LoadPlan::default()
    };
    load::run(plan).await.expect("a report")
}

fn class<'a>(report: &'a LoadReport, class: &str) -> &'a ClassReport {
    report.class(class).expect("a class of the plan")
}

fn ratio(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}

async fn run(case: Case) {
    let fleet = start(&case).await;
    let report = run_surge(&fleet, &case).await;
    for report in &report.classes {
        println!(
            "{} {}: {} calls, {:?}",
            case.name, report.class, report.calls, report.endings
        );
    }
    let [bids, browse, lookup] = ["bid", "browse", "lookup"].map(|name| class(&report, name));
    assert_eq!(report.endings.wrong, 0, "{}", case.name);
    let served = lookup.endings.whole;
    let shed = bids.endings.not_run;
    assert!(
        shed == 0 || served == 0,
        "{}: {shed} bids were shed while {served} look-ups were served",
        case.name
    );
    let lost = bids.calls - bids.endings.whole;
    assert!(
        lost <= bids.calls / BIDS_PER_ALLOWED_LOSS,
        "{}: lost {lost} of {} bids",
        case.name,
        bids.calls
    );
    let [bids, browse, lookup] =
        [bids, browse, lookup].map(|class| ratio(class.endings.whole, class.calls));
    assert!(
        bids >= browse && browse >= lookup - 0.05,
        "{}: ratios of served calls: bid {bids}, browse {browse}, lookup {lookup}",
        case.name
    );
    assert!(
        lookup < 0.9,
        "{}: the load did not require shedding",
        case.name
    );
    flow::assert_no_breaches(&fleet).await;
}

/// Guards against bids that are refused while targets serve look-ups. The entries get 2 to 8 times the load that the
/// called service or its downstream service can serve, and in one case the targets report that they are idle. The
/// failure occurs if a queue or an admission level takes calls in order of arrival, or if a call that was admitted
/// upstream is refused downstream.
#[tokio::test(flavor = "multi_thread")]
async fn bids_are_shed_last() {
    let case = |name, demand, deep, false_health| Case {
        name,
        demand,
        deep,
        false_health,
    };
    let cases = [
        case("twice", 2.0, false, false),
        case("4-times", 4.0, false, false),
        case("8-times", 8.0, false, false),
        case("deep-twice", 2.0, true, false),
        case("deep-8-times-lying", 8.0, true, true),
    ];
    for case in cases {
        run(case).await;
    }
}
