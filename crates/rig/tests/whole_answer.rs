//! A caller gets the whole answer to its own request or an error, whatever happens on the way.

#[path = "common/flow.rs"]
mod flow;

use std::time::Duration;

use bytes::Bytes;
use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::load::Ending;
use coltsfootport_rig::proxy::{Cut, DirectionFaults, LinkFaults};
use coltsfootport_rig::target::{ServiceTime, Settings};
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use flow::{Call, CallResult};

/// Largest body that the nodes take.
const BODY_LIMIT: usize = 256 * 1024;

/// Calls of each case, all at once.
const CALLS: usize = 400;

/// Disturbances while the calls of a case are under way.
const DISTURBANCES: usize = 4;

/// What is done again and again while calls are under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Disturbance {
    #[default]
    None,
    /// Both directions between the failure domains are cut and healed.
    Cut,
    /// A host is frozen and woken.
    Freeze,
    /// A host is killed and started again.
    Kill,
}

/// What goes wrong.
#[derive(Clone, Debug, Default)]
struct Case {
    name: &'static str,
    links: DirectionFaults,
    /// Behaviour of the targets of the service called.
    target: Settings,
    /// Behaviour of the targets of the service below it.
    below: Settings,
    disturbance: Disturbance,
    /// Deadline of each call in milliseconds.
    deadline_ms: u64,
    /// Whether every call is to succeed.
    all_whole: bool,
    /// Whether none may.
    none_whole: bool,
}

fn calls_low(target: Settings) -> Settings {
    let downstream = vec!["GET /low/x".parse().expect("a call")];
    Settings {
        downstream,
        ..target
    }
}

async fn start() -> Fleet {
    let services =
        [("front", calls_low(quick())), ("low", quick())].map(|(name, target)| ServicePlan {
            target,
            document: ServicePlan::document(name, 3),
            ..ServicePlan::new(name, &["a", "b"])
        });
    let mut node = flow::allowance_only_settings();
    node["limits"] = json!({ "body_bytes": BODY_LIMIT });
    let plan = FleetPlan {
        services: services.into(),
        node,
        proxied: true,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    flow::wait_until_settled(&fleet, "/front/x", &fleet.entries()).await;
    fleet
}

/// A body of its own for each call, most of them short.
fn body(rng: &mut StdRng) -> Bytes {
    let longest = 1 << rng.random_range(0..17);
    let len = rng.random_range(0..longest);
    (0..len).map(|_| rng.random::<u8>()).collect()
}

async fn ask_all(fleet: &mut Fleet, case: &Case) -> Vec<CallResult> {
    let mut rng = StdRng::seed_from_u64(7);
    let entries = fleet.entries();
    let mut asked = JoinSet::new();
    for i in 0..CALLS {
        let ask = Call {
            method: Method::PUT,
            body: body(&mut rng),
            deadline: Duration::from_millis(case.deadline_ms),
            ..Call::get(
                entries[i % entries.len()],
                &format!("/front/things/{i}?n={i}"),
                &format!("{}#{i}", case.name),
            )
        };
        let (client, wait) = (fleet.client.clone(), rng.random_range(0..400));
        asked.spawn(async move {
            sleep(Duration::from_millis(wait)).await;
            ask.send(&client).await
        });
    }
    for _ in 0..DISTURBANCES {
        disturb(fleet, case.disturbance).await;
    }
    asked.join_all().await
}

async fn disturb(fleet: &mut Fleet, disturbance: Disturbance) {
    let pause = || sleep(Duration::from_millis(60));
    let client = fleet.client.clone();
    let host = "front-2";
    match disturbance {
        Disturbance::None => return,
        Disturbance::Cut => fleet.cut("a", "b", Cut::Blackhole),
        Disturbance::Freeze => fleet.member_mut(host).freeze().expect("a running node"),
        Disturbance::Kill => fleet.member_mut(host).kill_node().expect("a running node"),
    }
    pause().await;
    match disturbance {
        Disturbance::None => {}
        Disturbance::Cut => fleet.heal(),
        Disturbance::Freeze => fleet.member_mut(host).wake().expect("a frozen node"),
        Disturbance::Kill => {
            let member = fleet.member_mut(host);
            member.start_node().expect("a node");
            member.ready(&client).await.expect("a ready node");
        }
    }
    pause().await;
}

fn cases() -> Vec<Case> {
    let slow = Settings {
        service_ms: 20.0,
        ..quick()
    };
    let jumbled = DirectionFaults {
        duplicate: 0.3,
        reorder: 0.3,
        reorder_ms: 8.0,
        jitter_ms: 3.0,
        ..DirectionFaults::default()
    };
    let lossy = DirectionFaults {
        loss: 0.02,
        ..jumbled
    };
    let large = Settings {
        answer_bytes: 60_000,
        ..slow.clone()
    };
    let cut_short = Settings {
        truncate_bytes: Some(120),
        ..quick()
    };
    let often_late = Settings {
        service_ms: 150.0,
        service_time: ServiceTime::Exponential,
        ..quick()
    };
    let too_large = Settings {
        answer_bytes: BODY_LIMIT + 1,
        ..quick()
    };
    let case = Case {
        target: slow.clone(),
        below: quick(),
        deadline_ms: 8_000,
        ..Case::default()
    };
    let disturbed = |disturbance| Case {
        disturbance,
        ..case.clone()
    };
    vec![
        Case {
            name: "no-fault",
            all_whole: true,
            ..case.clone()
        },
        Case {
            name: "jumbled",
            links: jumbled,
            all_whole: true,
            ..case.clone()
        },
        Case {
            name: "lossy-large",
            links: lossy,
            target: large.clone(),
            ..case.clone()
        },
        Case {
            name: "cut-short",
            target: cut_short.clone(),
            none_whole: true,
            ..case.clone()
        },
        Case {
            name: "below-cut-short",
            below: cut_short,
            none_whole: true,
            ..case.clone()
        },
        Case {
            name: "too-large",
            target: too_large,
            none_whole: true,
            ..case.clone()
        },
        Case {
            name: "late",
            target: often_late.clone(),
            deadline_ms: 150,
            ..case.clone()
        },
        Case {
            name: "late-jumbled",
            links: jumbled,
            target: often_late,
            deadline_ms: 200,
            ..case.clone()
        },
        Case {
            name: "partition",
            ..disturbed(Disturbance::Cut)
        },
        Case {
            name: "partition-large",
            target: large,
            ..disturbed(Disturbance::Cut)
        },
        Case {
            name: "freeze",
            ..disturbed(Disturbance::Freeze)
        },
        Case {
            name: "freeze-lossy",
            links: lossy,
            ..disturbed(Disturbance::Freeze)
        },
        Case {
            name: "kill",
            ..disturbed(Disturbance::Kill)
        },
    ]
}

fn quick() -> Settings {
    Settings {
        slots: 1000,
        service_ms: 1.0,
        ..Settings::default()
    }
}

/// Symptom: a caller takes part of an answer, or the answer to somebody else's request, for its own.
/// Sequence: hundreds of calls share the connections between nodes; answers are cut, late, lost, sent twice or overtaken,
/// hosts freeze, wake, die and come back.
/// Cause: an answer that ended early passes for a whole one, or one that came late is matched to the next call.
#[tokio::test(flavor = "multi_thread")]
async fn no_wrong_or_partial_answer_is_a_success() {
    let mut fleet = start().await;
    for case in cases() {
        let target = calls_low(case.target.clone());
        flow::set_targets(&fleet, "front", &target).await;
        flow::set_targets(&fleet, "low", &case.below).await;
        for (from, to) in [("a", "b"), ("b", "a")] {
            fleet.set_links(from, to, &LinkFaults::both(case.links));
        }
        let told = ask_all(&mut fleet, &case).await;
        println!("{}: {:?}", case.name, flow::count_endings(&told));
        for told in &told {
            let is_whole = told.ending == Ending::Whole;
            assert_ne!(told.ending, Ending::Wrong, "{}", told.describe());
            assert!(is_whole || !case.all_whole, "{}", told.describe());
            assert!(!is_whole || !case.none_whole, "{}", told.describe());
        }
        let is_some_whole = told.iter().any(|told| told.ending == Ending::Whole);
        assert!(
            is_some_whole || case.none_whole,
            "{}: no call succeeded",
            case.name
        );
        fleet.heal();
        flow::wait_until_idle(&fleet).await;
    }
    flow::assert_no_breaches(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_up_to_the_limit_pass_and_longer_ones_do_not_run() {
    let fleet = start().await;
    let sizes = [
        0,
        1,
        1000,
        65_535,
        65_536,
        BODY_LIMIT - 1,
        BODY_LIMIT,
        BODY_LIMIT + 1,
        3 * BODY_LIMIT,
    ];
    for (i, entry) in fleet.entries().into_iter().enumerate() {
        for size in sizes {
            let key = format!("size-{i}-{size}");
            let ask = Call {
                method: Method::PUT,
                body: (0..size).map(|i| (i % 251) as u8).collect(),
                ..Call::get(entry, "/front/sizes", &key)
            };
            let told = ask.send(&fleet.client).await;
            let runs = fleet.runs("front", &key).await.expect("counts");
            if size <= BODY_LIMIT {
                assert_eq!(
                    (told.ending, runs),
                    (Ending::Whole, 1),
                    "{}",
                    told.describe()
                );
                continue;
            }
            let status = told.result.as_ref().map(|answer| answer.status).ok();
            let seen = (told.ending, status, runs);
            let expected = (Ending::NotRun, Some(StatusCode::PAYLOAD_TOO_LARGE), 0);
            assert_eq!(seen, expected, "{}", told.describe());
        }
    }
}
