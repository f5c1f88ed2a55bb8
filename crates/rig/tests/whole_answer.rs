//! A caller gets the complete answer to its own request or an error, whatever fails on the path.

#[path = "common/flow.rs"]
mod flow;

use std::net::SocketAddr;
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
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use flow::{Call, CallResult};

/// Largest body that the nodes accept, in bytes.
const BODY_LIMIT: usize = 256 * 1024;

/// Number of concurrent calls in each case.
const CALLS: usize = 400;

/// How often the disturbance is repeated while the calls of a case are in flight.
const DISTURBANCE_COUNT: usize = 4;

/// A fault that is injected and lifted repeatedly while calls are in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Disturbance {
    #[default]
    None,
    /// Both directions between the failure domains are cut and restored.
    Cut,
    /// A node is frozen and resumed.
    Freeze,
    /// A node is killed and restarted.
    Kill,
}

/// The faults of a test case and the endings it expects.
#[derive(Clone, Debug, Default)]
struct Case {
    name: &'static str,
    links: DirectionFaults,
    /// Settings of the targets of the called service.
    target: Settings,
    /// Settings of the targets of its downstream service.
    downstream_target: Settings,
    disturbance: Disturbance,
    /// Deadline of each call in milliseconds.
    deadline_ms: u64,
    /// Whether every call must succeed.
    all_succeed: bool,
    /// Whether every call must fail.
    none_succeed: bool,
}

fn with_downstream_call(target: Settings) -> Settings {
    let downstream = vec!["GET /low/x".parse().expect("a call")];
    Settings {
        downstream,
        ..target
    }
}

async fn start() -> Fleet {
    let services = [
        ("front", with_downstream_call(fast_target())),
        ("low", fast_target()),
    ]
    .map(|(name, target)| ServicePlan {
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

/// Generates a random body; the length limit is drawn from powers of two, so that most bodies are short.
fn random_body(rng: &mut StdRng) -> Bytes {
    let max_len = 1 << rng.random_range(0..17);
    let len = rng.random_range(0..max_len);
    (0..len).map(|_| rng.random::<u8>()).collect()
}

/// Sends the calls of a case, repeats its disturbance meanwhile, and returns all results.
async fn send_calls(fleet: &mut Fleet, case: &Case) -> Vec<CallResult> {
    let mut rng = StdRng::seed_from_u64(7);
    let entries = fleet.entries();
    let mut calls = JoinSet::new();
    for i in 0..CALLS {
        let call = Call {
            method: Method::PUT,
            body: random_body(&mut rng),
            deadline: Duration::from_millis(case.deadline_ms),
            ..Call::get(
                entries[i % entries.len()],
                &format!("/front/things/{i}?n={i}"),
                &format!("{}#{i}", case.name),
            )
        };
        let (client, delay_ms) = (fleet.client.clone(), rng.random_range(0..400));
        calls.spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            call.send(&client).await
        });
    }
    for _ in 0..DISTURBANCE_COUNT {
        disturb(fleet, case.disturbance).await;
    }
    calls.join_all().await
}

async fn disturb(fleet: &mut Fleet, disturbance: Disturbance) {
    let pause = || sleep(Duration::from_millis(60));
    let client = fleet.client.clone();
    let node = "front-2";
    match disturbance {
        Disturbance::None => return,
        Disturbance::Cut => fleet.cut("a", "b", Cut::Blackhole),
        Disturbance::Freeze => fleet.member_mut(node).freeze().expect("a running node"),
        Disturbance::Kill => fleet.member_mut(node).kill_node().expect("a running node"),
    }
    pause().await;
    match disturbance {
        Disturbance::None => {}
        Disturbance::Cut => fleet.heal(),
        Disturbance::Freeze => fleet.member_mut(node).wake().expect("a frozen node"),
        Disturbance::Kill => {
            let member = fleet.member_mut(node);
            member.start_node().expect("a node");
            member.ready(&client).await.expect("a ready node");
        }
    }
    pause().await;
}

fn cases() -> Vec<Case> {
    let slow = Settings {
        service_ms: 20.0,
        ..fast_target()
    };
    let reordered = DirectionFaults {
        duplicate: 0.3,
        reorder: 0.3,
        reorder_ms: 8.0,
        jitter_ms: 3.0,
        ..DirectionFaults::default()
    };
    let lossy = DirectionFaults {
        loss: 0.02,
        ..reordered
    };
    let large = Settings {
        answer_bytes: 60_000,
        ..slow.clone()
    };
    let truncated = Settings {
        truncate_bytes: Some(120),
        ..fast_target()
    };
    let often_late = Settings {
        service_ms: 150.0,
        service_time: ServiceTime::Exponential,
        ..fast_target()
    };
    let too_large = Settings {
        answer_bytes: BODY_LIMIT + 1,
        ..fast_target()
    };
    let case = Case {
        target: slow.clone(),
        downstream_target: fast_target(),
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
            all_succeed: true,
            ..case.clone()
        },
        Case {
            name: "jumbled",
            links: reordered,
            all_succeed: true,
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
            target: truncated.clone(),
            none_succeed: true,
            ..case.clone()
        },
        Case {
            name: "below-cut-short",
            downstream_target: truncated,
            none_succeed: true,
            ..case.clone()
        },
        Case {
            name: "too-large",
            target: too_large,
            none_succeed: true,
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
            links: reordered,
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

fn fast_target() -> Settings {
    Settings {
        slots: 1000,
        service_ms: 1.0,
        ..Settings::default()
    }
}

/// Guards against a caller that receives a truncated answer, or the answer to another call, as a success. Hundreds of
/// calls share the connections between nodes, while answers are truncated, late, lost, duplicated or reordered and
/// nodes are frozen, resumed, killed and restarted. The failure occurs if a truncated answer is taken for a complete
/// one, or a late answer is matched to the next call.
#[tokio::test(flavor = "multi_thread")]
async fn no_wrong_or_partial_answer_is_a_success() {
    let mut fleet = start().await;
    for case in cases() {
        let target = with_downstream_call(case.target.clone());
        flow::set_targets(&fleet, "front", &target).await;
        flow::set_targets(&fleet, "low", &case.downstream_target).await;
        for (from, to) in [("a", "b"), ("b", "a")] {
            fleet.set_links(from, to, &LinkFaults::both(case.links));
        }
        let results = send_calls(&mut fleet, &case).await;
        println!("{}: {:?}", case.name, flow::count_endings(&results));
        for result in &results {
            let is_whole = result.ending == Ending::Whole;
            assert_ne!(result.ending, Ending::Wrong, "{}", result.describe());
            assert!(is_whole || !case.all_succeed, "{}", result.describe());
            assert!(!is_whole || !case.none_succeed, "{}", result.describe());
        }
        let any_whole = results.iter().any(|result| result.ending == Ending::Whole);
        assert!(
            any_whole || case.none_succeed,
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
            let call = Call {
                method: Method::PUT,
                body: (0..size).map(|i| (i % 251) as u8).collect(),
                ..Call::get(entry, "/front/sizes", &key)
            };
            let result = call.send(&fleet.client).await;
            let runs = fleet.runs("front", &key).await.expect("counts");
            if size <= BODY_LIMIT {
                assert_eq!(
                    (result.ending, runs),
                    (Ending::Whole, 1),
                    "{}",
                    result.describe()
                );
                continue;
            }
            let status = result.result.as_ref().map(|answer| answer.status).ok();
            let actual = (result.ending, status, runs);
            let expected = (Ending::NotRun, Some(StatusCode::PAYLOAD_TOO_LARGE), 0);
            assert_eq!(actual, expected, "{}", result.describe());
        }
    }
}

/// Sends the head and the first bytes of a request whose body is above the limit, and returns once its answer has been
/// sent.
async fn start_long_body(entry: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    let length = 3 * BODY_LIMIT;
    let head = format!("PUT /front/sizes HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("a head");
    stream.write_all(&[0; 1024]).await.expect("a body's start");
    stream.readable().await.expect("an answer");
    stream
}

/// Guards against an answer that is lost because the entry closes the connection of a caller that is still writing its
/// body.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_still_writing_a_refused_body_reads_its_answer() {
    let fleet = start().await;
    for entry in fleet.entries() {
        let mut stream = start_long_body(entry).await;
        for part in 0..10 {
            sleep(Duration::from_millis(10)).await;
            let written = stream.write_all(&[0; 16 * 1024]).await;
            written.unwrap_or_else(|e| panic!("part {part}: {e}"));
        }
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        read.expect("an answer and the end of the connection");
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains("\r\nconnection: close\r\n"), "{answer}");
        assert!(answer.ends_with("\r\n\r\ntoo-large\n"), "{answer}");
    }
}

/// Guards against a caller that holds its connection by writing without end after its request was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_never_stops_writing_is_cut() {
    let fleet = start().await;
    let mut stream = start_long_body(fleet.entries()[0]).await;
    let writing = async {
        while stream.write_all(&[0; 1024]).await.is_ok() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let cut = timeout(flow::EVENT_TIMEOUT, writing).await;
    cut.expect("the node closes the connection");
}
