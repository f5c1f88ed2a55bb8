//! A planned stop cuts off no calls.

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

/// Timeout for the graceful stop of a node whose calls take a few seconds at most.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Deadline of a call in milliseconds, the same as in [`flow::Call::get`].
const DEADLINE_MS: u64 = 5000;

/// Failure domains, one for each instance of a service.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The nodes to stop and the load under which they stop.
#[derive(Clone, Debug, Default)]
struct Case {
    name: &'static str,
    /// Nodes to stop; the nodes of a group are stopped at the same time, the groups one after the other.
    groups: Vec<Vec<&'static str>>,
    /// Whether stopped nodes are restarted before the next group is stopped.
    restart: bool,
    /// Interval at which calls are started.
    call_interval: Duration,
    /// Service time of the targets of `front`.
    service_ms: f64,
    /// Slots of each target of `front`.
    slots: usize,
    links: DirectionFaults,
    /// Length of the padding in the answers of `front`.
    answer_bytes: usize,
    /// Retry allowance of each request.
    retry_allowance: u16,
    /// Whether clients send calls only to nodes that are not stopped.
    avoid_stopped: bool,
    /// Whether nodes adapt their limits and shed calls.
    adaptive: bool,
    /// Whether calls may end as "not run", as under overload or at a node that is starting.
    may_refuse: bool,
}

fn node_settings(case: &Case) -> Value {
    let mut node = flow::allowance_only_settings();
    if case.adaptive {
        node["admission"] = json!({ "cold_start_ms": 0 });
    }
    node
}

/// Returns the default document with a deadline that is long enough for every call on a busy machine.
fn document(service: &str, case: &Case) -> String {
    let text = ServicePlan::document(service, case.retry_allowance);
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
        node: node_settings(case),
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

/// Sends SIGTERM to all nodes of a group and waits until they have exited.
async fn stop_group(fleet: &mut Fleet, group: &[&str]) {
    for name in group {
        let node = fleet.member_mut(name).node().expect("a running node");
        node.signal(Signal::TERM).expect("a signal");
    }
    for name in group {
        let ended = fleet.member_mut(name).stop_node(STOP_TIMEOUT).await;
        assert!(ended.expect("a node"), "{name} did not exit");
    }
}

/// Waits until the targets of `front` have finished `more` further calls.
async fn wait_until_served(fleet: &Fleet, more: u64) {
    let before = finished_calls(fleet).await;
    flow::wait_until("calls to be served", || async {
        finished_calls(fleet).await >= before + more
    })
    .await;
}

/// Returns the number of calls that the targets of `front` have finished.
async fn finished_calls(fleet: &Fleet) -> u64 {
    let counts = fleet.counts("front").await.expect("counts");
    counts.iter().map(|counts| counts.finished).sum()
}

/// Returns how often the targets of `front` started each call, by key.
async fn runs(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for counts in fleet.counts("front").await.expect("counts") {
        for (key, of_key) in counts.keys {
            *runs.entry(key.to_string()).or_default() += of_key.started;
        }
    }
    runs
}

/// Asserts that a call got its whole answer and ran, was told "not run" and did not run, or was refused a connection
/// by a stopped node.
fn check_result(
    result: &CallResult,
    case: &Case,
    stopped: &[SocketAddr],
    runs: &BTreeMap<String, u64>,
) {
    let started = runs.get(&result.key).copied().unwrap_or(0);
    let is_valid = match result.ending {
        Ending::Whole => started >= 1,
        Ending::NotRun => case.may_refuse && started == 0,
        Ending::Broken => result.is_refused_connection() && stopped.contains(&result.entry),
        _ => false,
    };
    assert!(
        is_valid,
        "{}: {} started {started} times",
        case.name,
        result.describe()
    );
}

async fn run(case: &Case) {
    let mut fleet = start(case).await;
    let is_entry =
        |name: &str| !case.avoid_stopped || !case.groups.iter().flatten().any(|g| *g == name);
    let entries = fleet
        .members
        .values()
        .filter(|member| is_entry(&member.name));
    let entries: Vec<SocketAddr> = entries.map(|member| member.addresses.callers).collect();
    let stream = CallStream::start(
        &fleet.client,
        case.name,
        "/front/x",
        &entries,
        case.call_interval,
    );
    wait_until_served(&fleet, 50).await;
    let mut stopped = Vec::new();
    for group in &case.groups {
        stopped.extend(
            group
                .iter()
                .map(|name| fleet.member(name).addresses.callers),
        );
        stop_group(&mut fleet, group).await;
        if case.restart {
            for name in group {
                fleet.member_mut(name).start_node().expect("a node");
            }
            fleet.all_ready().await.expect("ready nodes");
        }
        wait_until_served(&fleet, 50).await;
    }
    let results = stream.finish().await;
    flow::wait_until_idle(&fleet).await;
    println!("{}: {:?}", case.name, flow::count_endings(&results));
    let runs = runs(&fleet).await;
    for result in &results {
        check_result(result, case, &stopped, &runs);
    }
    flow::assert_no_breaches(&fleet).await;
}

fn case() -> Case {
    Case {
        call_interval: Duration::from_millis(4),
        service_ms: 20.0,
        slots: 1000,
        retry_allowance: 4,
        ..Case::default()
    }
}

/// Guards against a planned stop that breaks the connection of a caller or loses its call. Nodes get SIGTERM while
/// hundreds of calls pass through them as entries, run at their targets or are queued there. The failure occurs if a
/// node exits as soon as its own target has no calls left, while answers are still on their way to callers and peers,
/// calls of others still pass through it, or a client is sending its next call on an open connection.
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
            retry_allowance: 0,
            avoid_stopped: true,
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

/// Guards against the same failure in overload, and against the loss of calls that wait for a slot. The targets get
/// three times the load they can serve, and nodes refuse and queue calls while they are stopped one after the other.
/// The failure occurs if a call that was admitted and queued is dropped with the process, or gets "not run" after it
/// has run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_in_overload_cuts_off_nobody() {
    // 3 targets with 4 slots and a service time of 20 ms serve 600 calls a second.
    let case = Case {
        name: "overload",
        groups: vec![vec!["front-2"], vec!["low-3"]],
        call_interval: Duration::from_micros(550),
        slots: 4,
        adaptive: true,
        may_refuse: true,
        ..case()
    };
    run(&case).await;
}

/// Guards against errors at callers during the rollout of a new version: every node is stopped and restarted under
/// load, one after the other. The failure occurs if callers and nodes keep using a node that is leaving, or mistake
/// its new incarnation for the old one.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_cuts_off_nobody() {
    let names = ["front-1", "front-2", "front-3", "low-1", "low-2", "low-3"];
    let case = Case {
        name: "rolling",
        groups: names.iter().map(|name| vec![*name]).collect(),
        restart: true,
        may_refuse: true,
        ..case()
    };
    run(&case).await;
}
