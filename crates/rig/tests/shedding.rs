//! Important work is shed last.

#[path = "common/flow.rs"]
mod flow;

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::load::{self, ClassReport, LoadPlan, LoadReport, Stage};
use coltsfootport_rig::target::Settings;
use serde_json::json;

/// Instances of each service.
const DOMAINS: [&str; 2] = ["a", "b"];

/// Calls a second that the narrowest service serves in all.
const CAPACITY: f64 = 200.0;

/// Bids a second: a fifth of the capacity, so that all of them fit the slots.
const BIDS: f64 = 40.0;

/// Length of a surge in seconds.
const SECONDS: f64 = 2.5;

/// Bids of which one may be lost for another reason than shedding, such as a client's time limit on a busy machine.
const ONE_BID_IN: u64 = 50;

/// Where the demand meets too little capacity.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Demand at the entries as a multiple of the capacity.
    demand: f64,
    /// Whether the narrow service is below the one called, else it is the one called.
    deep: bool,
    /// Whether targets say they are healthy and idle whatever they carry.
    lying: bool,
}

fn narrow(case: &Case) -> Settings {
    // 2 targets with 4 slots of 40 ms each serve 200 calls a second.
    let load_factor = if case.lying { 0.0 } else { 1.0 };
    Settings {
        slots: 4,
        service_ms: 40.0,
        load_factor,
        ..Settings::default()
    }
}

async fn start(case: &Case) -> Fleet {
    let wide = Settings {
        slots: 100,
        service_ms: 5.0,
        ..Settings::default()
    };
    let (front, deep) = match case.deep {
        true => (wide, narrow(case)),
        false => (narrow(case), wide),
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

async fn surge(fleet: &Fleet, case: &Case) -> LoadReport {
    let others = CAPACITY * case.demand - BIDS;
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
            seconds: SECONDS,
        }],
        operations: vec![
            operation("POST /front/bids class=bid non-idempotent", BIDS),
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

fn share(of: u64, all: u64) -> f64 {
    of as f64 / all.max(1) as f64
}

async fn run(case: Case) {
    let fleet = start(&case).await;
    let report = surge(&fleet, &case).await;
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
        "{}: {shed} bids shed, {served} look-ups served",
        case.name
    );
    let lost = bids.calls - bids.endings.whole;
    assert!(
        lost <= bids.calls / ONE_BID_IN,
        "{}: {lost} of {} bids",
        case.name,
        bids.calls
    );
    let [bids, browse, lookup] =
        [bids, browse, lookup].map(|class| share(class.endings.whole, class.calls));
    assert!(
        bids >= browse && browse >= lookup - 0.05,
        "{}: {bids} {browse} {lookup}",
        case.name
    );
    assert!(lookup < 0.9, "{}: nothing had to be shed", case.name);
    flow::assert_no_breaches(&fleet).await;
}

/// Symptom: bids are refused while targets serve look-ups.
/// Sequence: the entries get 2 to 8 times what the service called, or one below it, can serve; targets may claim to be idle.
/// Cause: a queue or a level that takes calls as they come, or a refusal further down of what was let in above.
#[tokio::test(flavor = "multi_thread")]
async fn bids_are_shed_last() {
    let case = |name, demand, deep, lying| Case {
        name,
        demand,
        deep,
        lying,
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
