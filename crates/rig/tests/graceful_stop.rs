//! A planned stop cuts off nobody.

#[path = "common/flow.rs"]
mod flow;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::load::Ending;
use coltsfootport_rig::process::Signal;
use coltsfootport_rig::proxy::{DirectionFaults, LinkFaults};
use coltsfootport_rig::target::Settings;
use serde_json::{Value, json};

use flow::{CallResult, CallStream};

/// Longest time that a node with calls of at most a few seconds may take to end.
const STOP_TIME: Duration = Duration::from_secs(15);

/// Time limit of a call in milliseconds, as long as that of [`flow::Call::get`].
const DEADLINE_MS: u64 = 5000;

/// Failure domains, one for each instance.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// What is stopped under which load.
#[derive(Clone, Debug, Default)]
struct Case {
    name: &'static str,
    /// Nodes stopped, those of one group at once.
    groups: Vec<Vec<&'static str>>,
    /// Whether stopped nodes are started again before the next group is stopped.
    replace: bool,
    /// Time between two calls.
    gap: Duration,
    /// Service time of the targets of `front`.
    service_ms: f64,
    /// Slots of each target of `front`.
    slots: usize,
    links: DirectionFaults,
    /// Padding of the answers of `front`.
    answer_bytes: usize,
    /// Retries that a request brings.
    allowance: u16,
    /// Whether the clients keep to the nodes that are not stopped.
    spared: bool,
    /// Whether the nodes find their limits themselves and shed.
    adaptive: bool,
    /// Whether calls may end as not run, as in overload or at a node that is just starting.
    may_refuse: bool,
}

fn node(case: &Case) -> Value {
    let mut node = flow::allowance_only_settings();
    if case.adaptive {
        node["admission"] = json!({ "cold_start_ms": 0 });
    }
    node
}

/// The default document with time enough that no call runs out of it on a busy machine.
fn document(service: &str, case: &Case) -> String {
    let text = ServicePlan::document(service, case.allowance);
    let mut document: Value = serde_json::from_str(&text).expect("a document");
    document["deadline_ms"] = json!(DEADLINE_MS);
    document.to_string()
}

async fn start(case: &Case) -> Fleet {
    let front = Settings {
        slots: case.slots,
        service_ms: case.service_ms,
        answer_bytes: case.answer_bytes,
        downstream: vec!["GET /low/x".parse().expect("a call")],
        ..Settings::default()
    };
    let low = Settings {
        slots: 1000,
        service_ms: 5.0,
        ..Settings::default()
    };
    let service = |name, target| ServicePlan {
        document: document(name, case),
        target,
        ..ServicePlan::new(name, &DOMAINS)
    };
    let plan = FleetPlan {
        services: vec![service("front", front), service("low", low)],
        node: node(case),
        proxied: true,
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    for from in DOMAINS {
        for to in DOMAINS {
            fleet.set_links(from, to, &LinkFaults::both(case.links));
        }
    }
    fleet
}

/// Stops the nodes of a group at once and waits for their end.
async fn stop(fleet: &mut Fleet, group: &[&str]) {
    for name in group {
        let node = fleet.member_mut(name).node().expect("a running node");
        node.signal(Signal::TERM).expect("a signal");
    }
    for name in group {
        let ended = fleet.member_mut(name).stop_node(STOP_TIME).await;
        assert!(ended.expect("a node"), "{name} did not end");
    }
}

async fn served(fleet: &Fleet, more: u64) {
    let before = finished(fleet).await;
    flow::wait_until("calls to be served", || async {
        finished(fleet).await >= before + more
    })
    .await;
}

async fn finished(fleet: &Fleet) -> u64 {
    let counts = fleet.counts("front").await.expect("counts");
    counts.iter().map(|counts| counts.finished).sum()
}

async fn runs(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for counts in fleet.counts("front").await.expect("counts") {
        for (key, of_key) in counts.keys {
            *runs.entry(key.to_string()).or_default() += of_key.started;
        }
    }
    runs
}

/// A call ends whole, or not run and so told, or finds the port of a node that has ended closed.
fn judge(told: &CallResult, case: &Case, stopped: &[SocketAddr], runs: &BTreeMap<String, u64>) {
    let started = runs.get(&told.key).copied().unwrap_or(0);
    let is_well = match told.ending {
        Ending::Whole => started >= 1,
        Ending::NotRun => case.may_refuse && started == 0,
        Ending::Broken => told.is_refused_connection() && stopped.contains(&told.entry),
        _ => false,
    };
    assert!(
        is_well,
        "{}: {} started {started} times",
        case.name,
        told.describe()
    );
}

async fn run(case: &Case) {
    let mut fleet = start(case).await;
    let is_entry = |name: &str| !case.spared || !case.groups.iter().flatten().any(|g| *g == name);
    let entries = fleet
        .members
        .values()
        .filter(|member| is_entry(&member.name));
    let entries: Vec<SocketAddr> = entries.map(|member| member.addresses.callers).collect();
    let stream = CallStream::start(&fleet.client, case.name, "/front/x", &entries, case.gap);
    served(&fleet, 50).await;
    let mut stopped = Vec::new();
    for group in &case.groups {
        stopped.extend(
            group
                .iter()
                .map(|name| fleet.member(name).addresses.callers),
        );
        stop(&mut fleet, group).await;
        if case.replace {
            for name in group {
                fleet.member_mut(name).start_node().expect("a node");
            }
            fleet.all_ready().await.expect("ready nodes");
        }
        served(&fleet, 50).await;
    }
    let told = stream.finish().await;
    flow::wait_until_idle(&fleet).await;
    println!("{}: {:?}", case.name, flow::count_endings(&told));
    let runs = runs(&fleet).await;
    for told in &told {
        judge(told, case, &stopped, &runs);
    }
    flow::assert_no_breaches(&fleet).await;
}

fn case() -> Case {
    Case {
        gap: Duration::from_millis(4),
        service_ms: 20.0,
        slots: 1000,
        allowance: 4,
        ..Case::default()
    }
}

/// Symptom: a caller's connection breaks, or its call is lost, when a node is stopped as planned.
/// Sequence: nodes get SIGTERM while hundreds of calls pass through them as entries, run at their targets and wait there.
/// Cause: the node ends when its own target has no more calls, with answers still on their way to callers and peers, calls
/// of others still passing through, or connections open on which a client is just sending its next call.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_cuts_off_nobody() {
    let one = vec![vec!["front-2"]];
    let cases = [
        Case {
            name: "answers-on-their-way",
            groups: one.clone(),
            links: DirectionFaults {
                latency_ms: 60.0,
                ..DirectionFaults::default()
            },
            service_ms: 300.0,
            answer_bytes: 50_000,
            allowance: 0,
            spared: true,
            may_refuse: true,
            ..case()
        },
        Case {
            name: "one",
            groups: one.clone(),
            ..case()
        },
        Case {
            name: "slow-calls",
            groups: one.clone(),
            service_ms: 1200.0,
            ..case()
        },
        Case {
            name: "two-at-once",
            groups: vec![vec!["front-1", "low-1"]],
            ..case()
        },
        Case {
            name: "one-with-loss",
            groups: one.clone(),
            links: DirectionFaults {
                loss: 0.02,
                latency_ms: 5.0,
                ..DirectionFaults::default()
            },
            ..case()
        },
    ];
    for case in cases {
        run(&case).await;
    }
}

/// Symptom: as above, and calls that wait for a slot vanish.
/// Sequence: the targets get three times what they can serve; nodes refuse and queue calls while one after another stops.
/// Cause: work that was admitted and waits is dropped with the process, or told "not run" after it has run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_in_overload_cuts_off_nobody() {
    // 3 targets of 4 slots of 20 ms serve 600 calls a second.
    let case = Case {
        name: "overload",
        groups: vec![vec!["front-2"], vec!["low-3"]],
        gap: Duration::from_micros(550),
        slots: 4,
        adaptive: true,
        may_refuse: true,
        ..case()
    };
    run(&case).await;
}

/// Symptom: a rollout of a new version shows errors to callers.
/// Sequence: every node is stopped and started again, one after the other, under load.
/// Cause: callers and nodes keep to a node that leaves, or take the new incarnation for the old one.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_cuts_off_nobody() {
    let names = ["front-1", "front-2", "front-3", "low-1", "low-2", "low-3"];
    let case = Case {
        name: "rolling",
        groups: names.iter().map(|name| vec![*name]).collect(),
        replace: true,
        may_refuse: true,
        ..case()
    };
    run(&case).await;
}
