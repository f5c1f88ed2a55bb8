//! A target that leaves gets no new work.

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

/// The node that leaves; its failure domain holds nobody else.
const LEAVER: &str = "svc-3";

/// Time from the order to leave to the last new call at the leaver's target, generously.
const PROMISE: Duration = Duration::from_secs(3);

/// Time for which no new call must come, once the order is older than the promise.
const WATCHED: Duration = Duration::from_millis(2500);

/// Time for which a fault stands.
const FAULT_TIME: Duration = Duration::from_millis(1200);

/// Who says that the node leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Order {
    /// `POST /drain` at the operators' port.
    #[default]
    Operator,
    /// SIGTERM.
    Signal,
    /// The platform's list marks it as leaving; the node itself runs on.
    List,
}

/// What goes wrong while the node leaves.
#[derive(Clone, Copy, Debug, Default)]
struct Case {
    name: &'static str,
    order: Order,
    /// Faults between the leaver and the entries `a` and `b`, from before the order on.
    from_a: Option<Cut>,
    from_b: Option<Cut>,
    /// Whether only what the leaver sends is cut.
    one_way: bool,
    /// Whether the platforms answer with what stood before the order.
    stale: bool,
    /// Whether the platform of failure domain `a` alone is down, from before the order on.
    a_without_platform: bool,
}

async fn start() -> Fleet {
    let target = Settings {
        slots: 1000,
        service_ms: 10.0,
        ..Settings::default()
    };
    let mut node = flow::allowance_only_settings();
    // The leaver stays up for longer than is watched, so that it is not its end that keeps calls away.
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
        let (sent, answered) = match case.one_way {
            true => (DirectionFaults::default(), faults),
            false => (faults, faults),
        };
        let towards = LinkFaults {
            forward: sent,
            backward: answered,
            ..LinkFaults::default()
        };
        let back = LinkFaults {
            forward: answered,
            backward: sent,
            ..LinkFaults::default()
        };
        fleet.set_links(domain, "c", &towards);
        fleet.set_links("c", domain, &back);
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

async fn order(fleet: &mut Fleet, order: Order) {
    let leaver = fleet.member_mut(LEAVER);
    match order {
        Order::Operator => {
            let call = ClientCall::new(leaver.addresses.operators, Method::POST, "/drain");
            let answer = fleet.client.send(call).await.expect("an answer");
            assert!(answer.status.is_success(), "{answer:?}");
        }
        Order::Signal => leaver
            .node()
            .expect("a node")
            .signal(Signal::TERM)
            .expect("a signal"),
        Order::List => {
            let state = |name: &str| match name {
                LEAVER => InstanceState::Leaving,
                _ => InstanceState::Live,
            };
            let published = fleet
                .publish_instances(|member| Some(state(&member.name)))
                .await;
            published.expect("a list");
        }
    }
}

async fn started(fleet: &Fleet) -> u64 {
    let counts = fleet.member(LEAVER).counts(&fleet.client).await;
    counts.expect("counts").started
}

/// Watches the leaver's target until the promise is over and `WATCHED` more; returns when its last new call was seen.
async fn last_new_call(fleet: &mut Fleet, ordered: Instant, mut seen: u64) -> Duration {
    let mut last = Duration::ZERO;
    let mut is_healed = false;
    while ordered.elapsed() < FAULT_TIME + WATCHED {
        if !is_healed && ordered.elapsed() > FAULT_TIME {
            fleet.heal();
            is_healed = true;
        }
        let now = started(fleet).await;
        if now > seen {
            (seen, last) = (now, ordered.elapsed());
        }
        sleep(Duration::from_millis(10)).await;
    }
    last
}

async fn run(case: Case) {
    let mut fleet = start().await;
    let entry = |name| fleet.member(name).addresses.callers;
    let entries: Vec<SocketAddr> = match case.order {
        Order::List => vec![entry("svc-1"), entry("svc-2"), entry(LEAVER)],
        Order::Operator | Order::Signal => vec![entry("svc-1"), entry("svc-2")],
    };
    let gap = Duration::from_millis(4);
    let stream = CallStream::start(&fleet.client, case.name, "/svc/x", &entries, gap);
    flow::wait_until("calls at the leaver", || async {
        started(&fleet).await >= 30
    })
    .await;
    set_faults(&mut fleet, &case).await;
    let (ordered, seen) = (Instant::now(), started(&fleet).await);
    order(&mut fleet, case.order).await;
    let last = last_new_call(&mut fleet, ordered, seen).await;
    let told = stream.finish().await;
    let tally = flow::count_endings(&told);
    println!(
        "{}: last new call after {} ms, calls {tally:?}",
        case.name,
        last.as_millis()
    );
    assert!(
        last <= PROMISE,
        "{}: a new call came after {last:?}",
        case.name
    );
    // Work goes on elsewhere, also for the entries that were cut off.
    for entry in entries {
        let after = told.iter().rev().filter(|told| told.entry == entry);
        let is_whole = after.take(20).any(|told| told.ending == Ending::Whole);
        assert!(is_whole, "{}: {entry} serves nobody", case.name);
    }
    let wrong = told.iter().find(|told| told.ending == Ending::Wrong);
    assert!(wrong.is_none(), "{wrong:?}");
    if case.order != Order::List {
        let ended = fleet
            .member_mut(LEAVER)
            .stop_node(flow::EVENT_TIMEOUT)
            .await;
        assert!(
            ended.expect("a node"),
            "{}: the leaver did not end",
            case.name
        );
    }
    flow::assert_no_breaches(&fleet).await;
}

/// Symptom: a target that is to be taken away still gets new calls, which are cut off when it goes.
/// Sequence: a node is told to leave under load, by its operator, by SIGTERM or by the platform's list; its callers can't
/// reach it or can't hear it meanwhile, the list is stale or can't be read, and the links heal afterwards.
/// Cause: callers learn of the leaving by one way only, or go back to a node that they lost sight of.
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
    // Some at a time: each has its own fleet.
    for some in cases.chunks(4) {
        let some = some.iter().map(|case| tokio::spawn(run(*case)));
        for run in some.collect::<Vec<_>>() {
            run.await.expect("a case that holds");
        }
    }
}
