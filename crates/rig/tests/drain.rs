//! A target gets no new calls once its node is leaving.

#[path = "common/flow.rs"]
mod flow;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::http::ClientCall;
use coltsfootport_rig::load::Ending;
use coltsfootport_rig::platform::{FaultMode, FaultScope, InstanceState};
use coltsfootport_rig::process::Signal;
use coltsfootport_rig::proxy::{Cut, DirectionFaults, LinkFaults};
use coltsfootport_rig::target::Settings;
use http::Method;
use serde_json::json;
use tokio::time::sleep;

use flow::CallStream;

/// The node that leaves; it is the only node in its failure domain.
const LEAVING_NODE: &str = "svc-3";

/// Upper bound, with a wide margin, on the time from the order to leave to the last new call at the target.
const LAST_CALL_BOUND: Duration = Duration::from_secs(3);

/// Time for which the target is watched for new calls after the faults are lifted.
const WATCH_TIME: Duration = Duration::from_millis(2500);

/// Time from the order until the faults are lifted.
const FAULT_TIME: Duration = Duration::from_millis(1200);

/// How the node is ordered to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Order {
    /// `POST /drain` at the port for operators.
    #[default]
    Operator,
    /// SIGTERM.
    Signal,
    /// The instance list of the platform marks the node as leaving, while its process keeps running.
    List,
}

/// The faults while the node leaves.
#[derive(Clone, Copy, Debug, Default)]
struct Case {
    name: &'static str,
    order: Order,
    /// Fault on the links between the leaving node and failure domain `a`, injected before the order.
    from_a: Option<Cut>,
    /// The same for failure domain `b`.
    from_b: Option<Cut>,
    /// Whether only the direction from the leaving node is cut.
    one_way: bool,
    /// Whether the platforms return the state from before the order.
    stale: bool,
    /// Whether only the platform of failure domain `a` is down, from before the order.
    a_without_platform: bool,
}

async fn start() -> Fleet {
    let target = Settings {
        slots: 1000,
        service_ms: 10.0,
        ..Settings::default()
    };
    let mut node = flow::allowance_only_settings();
    // Keeps the leaving node up for longer than it is watched: calls must stay away because it leaves, not because its
    // process has ended.
    node["shutdown"] = json!({ "announce_ms": 4500 });
    let plan = FleetPlan {
        services: vec![ServicePlan {
            document: ServicePlan::document("svc", 4),
            target,
            ..ServicePlan::new("svc", &["a", "b", "c"])
        }],
        node,
        proxied: true,
        ..FleetPlan::default()
    };
    Fleet::start(plan).await.expect("a fleet")
}

async fn set_faults(fleet: &mut Fleet, case: &Case) {
    for (domain, cut) in [("a", case.from_a), ("b", case.from_b)] {
        let Some(cut) = cut else { continue };
        let faults = DirectionFaults::cut(cut);
        let (to_leaving, from_leaving) = match case.one_way {
            true => (DirectionFaults::default(), faults),
            false => (faults, faults),
        };
        let inbound = LinkFaults {
            forward: to_leaving,
            backward: from_leaving,
            ..LinkFaults::default()
        };
        let outbound = LinkFaults {
            forward: from_leaving,
            backward: to_leaving,
            ..LinkFaults::default()
        };
        fleet.set_links(domain, "c", &inbound);
        fleet.set_links("c", domain, &outbound);
    }
    if case.stale {
        let set = fleet
            .platform_fault(FaultMode::Stale, FaultScope::default())
            .await;
        set.expect("a fault");
    }
    if case.a_without_platform {
        let set = fleet
            .platform_fault_in("a", FaultMode::Down, FaultScope::default())
            .await;
        set.expect("a fault");
    }
}

async fn order_to_leave(fleet: &mut Fleet, order: Order) {
    let node = fleet.member_mut(LEAVING_NODE);
    match order {
        Order::Operator => {
            let call = ClientCall::new(node.addresses.operators, Method::POST, "/drain");
            let answer = fleet.client.send(call).await.expect("an answer");
            assert!(answer.status.is_success(), "{answer:?}");
        }
        Order::Signal => node
            .node()
            .expect("a node")
            .signal(Signal::TERM)
            .expect("a signal"),
        Order::List => {
            let state = |name: &str| match name {
                LEAVING_NODE => InstanceState::Leaving,
                _ => InstanceState::Live,
            };
            let published = fleet
                .publish_instances(|member| Some(state(&member.name)))
                .await;
            published.expect("a list");
        }
    }
}

/// Returns the number of calls that the target of the leaving node has started.
async fn started_calls(fleet: &Fleet) -> u64 {
    let counts = fleet.member(LEAVING_NODE).counts(&fleet.client).await;
    counts.expect("counts").started
}

/// Watches the target of the leaving node, lifts the faults after `FAULT_TIME`, and watches on for `WATCH_TIME`.
/// Returns the time from the order until the last new call was observed.
async fn last_new_call(fleet: &mut Fleet, ordered: Instant, mut call_count: u64) -> Duration {
    let mut last = Duration::ZERO;
    let mut is_healed = false;
    while ordered.elapsed() < FAULT_TIME + WATCH_TIME {
        if !is_healed && ordered.elapsed() > FAULT_TIME {
            fleet.heal();
            is_healed = true;
        }
        let now = started_calls(fleet).await;
        if now > call_count {
            (call_count, last) = (now, ordered.elapsed());
        }
        sleep(Duration::from_millis(10)).await;
    }
    last
}

async fn run(case: Case) {
    let mut fleet = start().await;
    let entry = |name| fleet.member(name).addresses.callers;
    let entries: Vec<SocketAddr> = match case.order {
        Order::List => vec![entry("svc-1"), entry("svc-2"), entry(LEAVING_NODE)],
        Order::Operator | Order::Signal => vec![entry("svc-1"), entry("svc-2")],
    };
    let call_interval = Duration::from_millis(4);
    let stream = CallStream::start(&fleet.client, case.name, "/svc/x", &entries, call_interval);
    flow::wait_until("calls at the leaving node", || async {
        started_calls(&fleet).await >= 30
    })
    .await;
    set_faults(&mut fleet, &case).await;
    let (ordered, call_count) = (Instant::now(), started_calls(&fleet).await);
    order_to_leave(&mut fleet, case.order).await;
    let last = last_new_call(&mut fleet, ordered, call_count).await;
    let results = stream.finish().await;
    let endings = flow::count_endings(&results);
    println!(
        "{}: last new call after {} ms, calls {endings:?}",
        case.name,
        last.as_millis()
    );
    assert!(
        last <= LAST_CALL_BOUND,
        "{}: a new call came after {last:?}",
        case.name
    );
    // Calls still succeed at the remaining targets, also through the entries that were cut off.
    for entry in entries {
        let last_results = results.iter().rev().filter(|result| result.entry == entry);
        let is_whole = last_results
            .take(20)
            .any(|result| result.ending == Ending::Whole);
        assert!(
            is_whole,
            "{}: no recent call through {entry} succeeded",
            case.name
        );
    }
    let wrong = results.iter().find(|result| result.ending == Ending::Wrong);
    assert!(wrong.is_none(), "{wrong:?}");
    if case.order != Order::List {
        let ended = fleet
            .member_mut(LEAVING_NODE)
            .stop_node(flow::EVENT_TIMEOUT)
            .await;
        assert!(
            ended.expect("a node"),
            "{}: the leaving node did not exit",
            case.name
        );
    }
    flow::assert_no_breaches(&fleet).await;
}

/// Guards against a leaving target that still gets new calls, which are cut off when it stops. A node is ordered to
/// leave under load, by its operator, by SIGTERM or by the instance list of the platform. Meanwhile its peers can't
/// reach it or don't receive what it sends, or the list is stale or can't be read; afterwards the links are restored.
/// The failure occurs if peers learn in one way only that a node leaves, or return to a node with which they had lost
/// contact.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work() {
    let lost = Some(Cut::Blackhole);
    let (signal, list) = (Order::Signal, Order::List);
    let cases = [
        Case {
            name: "operator",
            ..Case::default()
        },
        Case {
            name: "signal",
            order: signal,
            ..Case::default()
        },
        Case {
            name: "list",
            order: list,
            ..Case::default()
        },
        Case {
            name: "signal-stale-list",
            order: signal,
            stale: true,
            ..Case::default()
        },
        Case {
            name: "list-unread-by-a",
            order: list,
            a_without_platform: true,
            ..Case::default()
        },
        Case {
            name: "operator-one-cut",
            from_a: lost,
            ..Case::default()
        },
        Case {
            name: "operator-both-cut",
            from_a: lost,
            from_b: lost,
            ..Case::default()
        },
        Case {
            name: "list-one-cut",
            order: list,
            from_a: lost,
            ..Case::default()
        },
        Case {
            name: "signal-unheard-stale-list",
            order: signal,
            from_a: lost,
            from_b: lost,
            one_way: true,
            stale: true,
            ..Case::default()
        },
        Case {
            name: "list-unread-by-a-one-cut",
            order: list,
            from_b: lost,
            a_without_platform: true,
            ..Case::default()
        },
    ];
    // Runs four cases at a time, since each starts its own fleet.
    for batch in cases.chunks(4) {
        let runs = batch.iter().map(|case| tokio::spawn(run(*case)));
        for run in runs.collect::<Vec<_>>() {
            run.await.expect("a passing case");
        }
    }
}
