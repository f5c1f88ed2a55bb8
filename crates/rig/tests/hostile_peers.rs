//! Peers that lie, flood or send garbage harm neither the node nor the calls of others.

mod common;
#[path = "common/hostile_peer.rs"]
mod hostile_peer;

use std::time::Duration;

use coltsfootport::wire::{
    CallFrame, ControlReply, ControlRequest, DigestFrame, EntryFrame, HeaderFrame, HelloFrame,
    NewsFrame, OnceFrame, PeerReply, PeerRequest, RefusalFrame, ReplyFrame, ReportFrame,
    StateReportFrame, VerdictFrame, checksum,
};
use coltsfootport_core::id::{Incarnation, NodeName, ServiceName};
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::once::{Tick, Token};
use coltsfootport_core::timeline::Stamp;
use coltsfootport_rig::fleet::{Fleet, FleetKeys, FleetPlan, Programs, ServicePlan};
use coltsfootport_rig::http::ClientCall;
use http::Method;
use serde_json::{Value, json};

use common::{metric, text, until};
use hostile_peer::{HostilePeer, framed, serve};

/// The attacked node.
const VICTIM: &str = "bidding-1";

/// The name in the certificate that the hostile peer holds.
const STRANGER: &str = "bidding-9";

async fn fleet() -> Fleet {
    fleet_with(1000).await
}

/// A fleet in which a frame has so many milliseconds to arrive.
async fn fleet_with(frame_ms: u64) -> Fleet {
    let plan = FleetPlan {
        services: vec![
            ServicePlan::new("bidding", &["a"]),
            ServicePlan::new("prices", &["a"]),
        ],
        node: json!({ "limits": { "header_timeout_ms": frame_ms, "peer_streams": 1024 } }),
        ..FleetPlan::default()
    };
    Fleet::start(plan).await.expect("a fleet")
}

fn node_program() -> std::path::PathBuf {
    Programs::beside_this().expect("programs").node
}

/// The `tls` section of a node of that name.
fn tls(keys: &FleetKeys, name: &str) -> Value {
    let sections = keys.sections(&node_program(), name).expect("keys");
    let found = sections.into_iter().find(|part| part.get("tls").is_some());
    found.expect("a tls section")
}

async fn insider(fleet: &Fleet) -> HostilePeer {
    insider_with(fleet, &tls(&fleet.keys, STRANGER)).await
}

async fn insider_with(fleet: &Fleet, own: &Value) -> HostilePeer {
    let to = fleet.member(VICTIM).addresses.peers;
    let peer = HostilePeer::connect(to, VICTIM, own, Some(own)).await;
    peer.expect("a connection")
}

async fn rejected(fleet: &Fleet, what: &str) -> u64 {
    let operators = fleet.member(VICTIM).addresses.operators;
    metric(
        &fleet.client,
        operators,
        &format!("rejected_total{{what=\"{what}\"}}"),
    )
    .await
}

/// Calls from outside and from node to node are served, and no invariant is broken.
async fn serves(fleet: &Fleet, after: &str) {
    for entry in fleet.entries() {
        for service in ["bidding", "prices"] {
            let call = ClientCall::new(entry, Method::GET, format!("/{service}/lots/1"));
            let answer = fleet.client.send(call).await.expect("an answer");
            assert_eq!(answer.status, 200, "after {after}: {}", text(&answer));
        }
    }
    let breaches = fleet.breaches().await.expect("statuses");
    assert_eq!(breaches, Vec::<String>::new(), "after {after}");
}

fn call(change: fn(&mut CallFrame)) -> Vec<u8> {
    let body = b"bid";
    let mut frame = CallFrame {
        stamp: Stamp::default(),
        request: 1,
        attempt: 1,
        attempt_number: 1,
        service: "bidding".into(),
        method: "POST".into(),
        path: "/bids".into(),
        headers: Vec::new(),
        class: 0,
        class_name: "bid".into(),
        operation: "0".into(),
        remaining_us: 2_000_000,
        allowance: 0,
        depth: 0,
        idempotent: false,
        revision: 1,
        once: None,
        body_len: body.len() as u32,
        body_crc: checksum(body),
    };
    change(&mut frame);
    let mut bytes = framed(&PeerRequest::Call(Box::new(frame)));
    bytes.extend(body);
    bytes
}

fn control(request: ControlRequest) -> Vec<u8> {
    framed(&PeerRequest::Control(request))
}

fn hello(node: &str, state: NodeState) -> HelloFrame {
    HelloFrame {
        stamp: Stamp {
            wall_ms: u64::MAX,
            counter: u16::MAX,
        },
        report: ReportFrame {
            node: node.into(),
            incarnation: u128::MAX,
            tick: u64::MAX,
            state,
            in_flight: u32::MAX,
            queued: u32::MAX,
            limit: 0,
            level_class: u8::MAX,
            level_bucket: u8::MAX,
            revision: u64::MAX,
        },
    }
}

fn digest(node: &str) -> DigestFrame {
    DigestFrame {
        state_report: StateReportFrame {
            node: node.into(),
            incarnation: 1,
            state: NodeState::Serving,
            tick: u64::MAX,
        },
        digest: Default::default(),
        list_revision: u64::MAX,
        config_age_ms: Some(u64::MAX),
        list_age_ms: Some(u64::MAX),
    }
}

fn news(node: &str) -> NewsFrame {
    NewsFrame {
        node: node.into(),
        notices: Vec::new(),
        entries: Vec::new(),
    }
}

// Symptom: whoever reaches the peers' port runs calls at the target or changes the view of the fleet.
// Sequence: a client without a certificate, then one with a certificate of another fleet, connects and asks.
// Cause: the accepting side takes any client, or any certificate.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_are_refused_and_counted() {
    let fleet = fleet().await;
    let trust = tls(&fleet.keys, STRANGER);
    let other = FleetKeys::random(&node_program()).expect("keys");
    let cases = [
        ("no certificate", None),
        ("another fleet", Some(tls(&other, VICTIM))),
    ];
    let to = fleet.member(VICTIM).addresses.peers;
    for (name, own) in cases {
        let before = rejected(&fleet, "certificate").await;
        if let Some(peer) = HostilePeer::connect(to, VICTIM, &trust, own.as_ref()).await {
            let reply = peer.control(ControlRequest::Ping).await;
            assert!(reply.is_none(), "{name}: {reply:?}");
            peer.connection.closed().await;
        }
        until(async || (rejected(&fleet, "certificate").await > before).then_some(())).await;
        serves(&fleet, name).await;
    }
}

/// Bytes of a peer with a valid certificate and what they are counted as.
struct Garbage {
    name: &'static str,
    bytes: Vec<u8>,
    counted: Option<&'static str>,
}

// Symptom: a defective or malicious node of the fleet takes other nodes down, by one message.
// Sequence: each frame of the table arrives on a connection with a valid certificate.
// Cause: a length, number or name of a frame is believed: allocation of 4 GiB, overflow of an instant, an index out of
//   bounds, a second request smuggled into the target's connection.
#[tokio::test(flavor = "multi_thread")]
async fn frames_of_a_hostile_peer_end_on_their_own_stream() {
    let fleet = fleet().await;
    let peer = insider(&fleet).await;
    let frame = Some("frame");
    let far = |name: &str| StateReportFrame {
        node: name.into(),
        incarnation: 0,
        state: NodeState::Leaving,
        tick: u64::MAX,
    };
    let garbage = |name, bytes, counted| Garbage {
        name,
        bytes,
        counted,
    };
    let cases = [
        garbage("garbage", vec![0, 0, 0, 4, 255, 255, 255, 255], frame),
        garbage("no head", vec![0, 0, 0, 0], frame),
        garbage("a head of 4 GiB", vec![255; 64], frame),
        garbage("a cut length", vec![0, 0], None),
        garbage("a cut head", vec![0, 0, 1, 0, 1], None),
        garbage("a wrong checksum", call(|f| f.body_crc ^= 1), frame),
        garbage("a body of 4 GiB", call(|f| f.body_len = u32::MAX), frame),
        garbage("a cut body", call(|f| f.body_len = 100), None),
        garbage("an unknown class", call(|f| f.class = 200), frame),
        garbage("a bad method", call(|f| f.method = "P OST".into()), frame),
        garbage(
            "a bad header",
            call(|f| {
                f.headers = vec![HeaderFrame {
                    name: "x".into(),
                    value: b"a\r\nb: c".to_vec(),
                }];
            }),
            frame,
        ),
        garbage(
            "a path of no URI",
            call(|f| f.path = "no path".into()),
            None,
        ),
        garbage(
            "a deadline without end",
            call(|f| f.remaining_us = u64::MAX),
            None,
        ),
        garbage("no time left", call(|f| f.remaining_us = 0), None),
        garbage(
            "another service",
            call(|f| f.service = "prices".into()),
            None,
        ),
        garbage(
            "far words",
            control(ControlRequest::StateReports(vec![far("x")])),
            None,
        ),
        garbage(
            "own words",
            control(ControlRequest::Greet(hello(STRANGER, NodeState::Serving))),
            None,
        ),
        garbage(
            "a digest from the future",
            control(ControlRequest::Digest(digest(STRANGER))),
            None,
        ),
        garbage(
            "a pull of everything",
            control(ControlRequest::PullSince(0)),
            None,
        ),
        garbage(
            "a pull from the future",
            control(ControlRequest::PullList(u64::MAX)),
            None,
        ),
        garbage(
            "an entry that is no document",
            control(ControlRequest::Entries(vec![EntryFrame {
                key: "documents/".into(),
                revision: 2,
                value: "{".into(),
            }])),
            None,
        ),
    ];
    for case in cases {
        let before = rejected(&fleet, "frame").await;
        peer.send(&case.bytes).await;
        if case.counted.is_some() {
            until(async || (rejected(&fleet, "frame").await == before + 1).then_some(())).await;
        } else {
            assert_eq!(rejected(&fleet, "frame").await, before, "{}", case.name);
        }
        serves(&fleet, case.name).await;
    }
}

// Symptom: the target takes the body of one call for another call's request.
// Sequence: a peer sends a call whose headers name another length than its body has.
// Cause: the host passes on headers that belong to one connection, as they came from the peer.
#[tokio::test(flavor = "multi_thread")]
async fn framing_headers_of_a_peer_do_not_reach_the_target() {
    let fleet = fleet().await;
    let peer = insider(&fleet).await;
    for (name, value) in [
        ("content-length", "90"),
        ("transfer-encoding", "chunked"),
        ("connection", "close"),
    ] {
        let before = fleet.counts("bidding").await.expect("counts")[0].started;
        let mut bytes = call(|f| f.remaining_us = 3_000_000);
        let PeerRequest::Call(mut frame) =
            postcard::from_bytes(&bytes[4..bytes.len() - 3]).expect("the own frame")
        else {
            unreachable!("a call")
        };
        frame.headers = vec![HeaderFrame {
            name: name.into(),
            value: value.into(),
        }];
        bytes = framed(&PeerRequest::Call(frame));
        bytes.extend(b"bid");
        let reply = peer.send(&bytes).await;
        let echo = String::from_utf8_lossy(&reply).into_owned();
        assert!(echo.contains("\"body_bytes\":3"), "{name}: {echo}");
        let after = fleet.counts("bidding").await.expect("counts")[0].started;
        assert_eq!(after, before + 1, "{name}");
        serves(&fleet, name).await;
    }
}

// Symptom: a node gets no work any more although it is well, or its place is taken by another.
// Sequence: a peer with a certificate of its own greets, announces, compares or tells news under the name of another.
// Cause: the name in the message is believed, not that of the certificate.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_speaks_under_the_name_of_another() {
    let fleet = fleet().await;
    let forged = [
        ControlRequest::Greet(hello("prices-1", NodeState::Leaving)),
        ControlRequest::Announce(hello("prices-1", NodeState::Leaving)),
        ControlRequest::Announce(hello("PRICES 1", NodeState::Leaving)),
        ControlRequest::Digest(digest("prices-1")),
        ControlRequest::News(news("prices-1")),
    ];
    for request in forged {
        let name = format!("{:?}", request.kind());
        let before = rejected(&fleet, "name").await;
        let peer = insider(&fleet).await;
        assert!(peer.control(request).await.is_none(), "{name}");
        until(async || (rejected(&fleet, "name").await > before).then_some(())).await;
        serves(&fleet, &name).await;
    }
    let peer = insider(&fleet).await;
    let own = ControlRequest::Announce(hello(STRANGER, NodeState::Serving));
    assert!(matches!(peer.control(own).await, Some(ControlReply::Done)));
}

// Symptom: one peer keeps all others out, seen as calls between nodes that expire.
// Sequence: a peer opens connection after connection, each with as many streams as it may, and ends no frame.
// Cause: places for streams are shared by all peers, and a frame may take for ever to arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_opens_thousands_of_streams_does_not_keep_others_out() {
    // With much time for a frame only the count of connections bounds the peer, with little only the time its last ones.
    for frame_ms in [60_000, 1000] {
        let mut fleet = fleet_with(frame_ms).await;
        serves(&fleet, "the start").await;
        let own = tls(&fleet.keys, STRANGER);
        let mut held = Vec::new();
        let mut streams = 0;
        for _ in 0..18 {
            let peer = insider_with(&fleet, &own).await;
            let mut open = Vec::new();
            for _ in 0..1000 {
                let opening = peer.hold(&[0, 0, 1]);
                match tokio::time::timeout(Duration::from_millis(500), opening).await {
                    Ok(Some(tx)) => open.push(tx),
                    _ => break,
                }
            }
            streams += open.len();
            held.push((peer, open));
        }
        assert!(streams >= 17_000, "{streams} streams");
        serves(&fleet, "the streams").await;
        let node = fleet.member_mut(VICTIM).node().expect("a node").pid();
        let used = common::resident(node);
        println!("{streams} streams, {used} bytes resident");
        assert!(used < 112 << 20, "{used} bytes");
        let (_, last) = held.last_mut().expect("a connection");
        let ended = last.last_mut().expect("a stream").stopped();
        if frame_ms < 60_000 {
            let ended = tokio::time::timeout(common::PATIENCE, ended).await;
            assert!(ended.is_ok(), "a stream without an end is still open");
        }
    }
}

// Symptom: memory and traffic of every node grow with what one peer invents.
// Sequence: a peer passes on words of tens of thousands of nodes, and documents of a hundred services, that don't exist.
// Cause: words and entries are taken from peers without a bound, and passed on.
#[tokio::test(flavor = "multi_thread")]
async fn words_and_documents_that_a_peer_invents_take_bounded_room() {
    let mut fleet = fleet().await;
    let peer = insider(&fleet).await;
    let nodes = [VICTIM, "prices-1"];
    let pids = nodes.map(|name| fleet.member_mut(name).node().expect("a node").pid());
    let before = pids.map(common::resident);
    for batch in 0..4 {
        let word = |i| StateReportFrame {
            node: format!("invented-{batch}-{i}").into(),
            incarnation: 1,
            state: NodeState::Leaving,
            tick: 1,
        };
        let words = (0..8000).map(word).collect();
        peer.control(ControlRequest::StateReports(words)).await;
    }
    for i in 0..100 {
        let entry = EntryFrame {
            key: format!("documents/invented-{i}").into(),
            revision: 1000 + i,
            value: "x".repeat(900_000),
        };
        peer.control(ControlRequest::Entries(vec![entry])).await;
    }
    for ((name, pid), before) in nodes.iter().zip(pids).zip(before) {
        let grown = common::resident(pid).saturating_sub(before);
        println!("{name}: 32000 invented words, 90 MB of documents: {grown} bytes");
        assert!(grown < 80 << 20, "{name}: {grown} bytes");
    }
    serves(&fleet, "the inventions").await;
}

// Symptom: a call that its caller may still repeat is refused for good, or a node's memory grows with each message.
// Sequence: a peer asks for the refusal of tokens: of other nodes, of other runs, and of more than there is room for.
// Cause: a record is kept for each token that anybody names.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_invented_tokens_take_no_unbounded_room() {
    let mut fleet = fleet().await;
    let peer = insider(&fleet).await;
    let greeted = peer
        .control(ControlRequest::Greet(hello(STRANGER, NodeState::Serving)))
        .await;
    let Some(ControlReply::Hello(victim)) = greeted else {
        panic!("no greeting: {greeted:?}")
    };
    let token = |id, home: &str, incarnation| Token {
        id,
        service: ServiceName::from("bidding"),
        home: NodeName::from(home),
        incarnation: Incarnation(incarnation),
        tick: Tick(victim.report.tick),
    };
    for (name, foreign) in [
        ("another node", token(1, "prices-1", 7)),
        ("another run", token(1, VICTIM, 7)),
    ] {
        let refuse = ControlRequest::Refuse {
            token: foreign,
            up_to: u32::MAX,
        };
        let reply = peer.control(refuse).await;
        let unknown = matches!(reply, Some(ControlReply::Refuse(RefusalFrame::Unknown)));
        assert!(unknown, "{name}: {reply:?}");
    }
    let pid = fleet.member_mut(VICTIM).node().expect("a node").pid();
    let before = common::resident(pid);
    for id in 0..2000 {
        let refuse = ControlRequest::Refuse {
            token: token(id, VICTIM, victim.report.incarnation),
            up_to: u32::MAX,
        };
        assert!(peer.control(refuse).await.is_some());
    }
    let grown = common::resident(pid).saturating_sub(before);
    println!("2000 invented tokens: {grown} bytes");
    assert!(grown < 16 << 20, "{grown} bytes");
    serves(&fleet, "the refusals").await;
    let forged = call(|f| {
        f.once = Some(OnceFrame {
            token: Token {
                id: 1,
                service: ServiceName::from("bidding"),
                home: NodeName::from("prices-1"),
                incarnation: Incarnation(7),
                tick: Tick(0),
            },
            number: 1,
        });
    });
    let before = fleet.counts("bidding").await.expect("counts")[0].started;
    peer.send(&forged).await;
    let after = fleet.counts("bidding").await.expect("counts")[0].started;
    assert_eq!(after, before, "a token of another home ran");
}

/// Replies of a hostile host to a call, by the query of its path.
fn reply_of_a_hostile_host(request: PeerRequest) -> Option<Vec<u8>> {
    let own = |state| hello("prices-1", state).report;
    let call = match request {
        PeerRequest::Call(call) => call,
        PeerRequest::Control(ControlRequest::Greet(_)) => {
            let mut greeting = hello("prices-1", NodeState::Serving);
            greeting.report.tick = 1;
            greeting.report.level_class = 7;
            greeting.report.revision = 0;
            let reply = ControlReply::Hello(greeting);
            return Some(framed(&PeerReply::Control(reply)));
        }
        PeerRequest::Control(_) => return Some(framed(&PeerReply::Control(ControlReply::Done))),
    };
    let mode = call.path.split_once('?').map_or("", |(_, mode)| mode);
    let mut reply = ReplyFrame {
        stamp: Stamp::default(),
        attempt: call.attempt,
        allowance_left: 0,
        verdict: VerdictFrame::Answered {
            status: if mode == "status" { 9999 } else { 200 },
            headers: Vec::new(),
            replayed: false,
        },
        report: own(NodeState::Serving),
        body_len: 2,
        body_crc: checksum(b"ok"),
    };
    reply.report.level_class = 7;
    reply.report.revision = 0;
    match mode {
        "garbage" => return Some(vec![0, 0, 0, 4, 255, 255, 255, 255]),
        "giant" => return Some(vec![255; 64]),
        "control" => return Some(framed(&PeerReply::Control(ControlReply::Done))),
        "cut" => return Some(vec![0, 0, 1, 0, 1]),
        "hang" => return None,
        "sum" => reply.body_crc ^= 1,
        "length" => reply.body_len = u32::MAX,
        "short" => reply.body_len = 100,
        "attempt" => reply.attempt ^= 1,
        "allowance" => reply.allowance_left = u16::MAX,
        "name" => reply.report = hello("bidding-1", NodeState::Leaving).report,
        _ => {}
    }
    let mut bytes = framed(&PeerReply::Call(Box::new(reply)));
    bytes.extend(b"ok");
    Some(bytes)
}

// Symptom: a caller takes something else for the answer to its call, or an entry believes what one host says of another.
// Sequence: a host with a valid certificate replies to a call in each way of the table; then other calls are made.
// Cause: a reply is believed before its length, sum, attempt and name are checked.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_replies_anything_harms_its_own_call_only() {
    let mut fleet = fleet().await;
    serves(&fleet, "the start").await;
    let host = fleet.member_mut("prices-1");
    host.kill_node().expect("a kill");
    let at = host.addresses.peers;
    let endpoint = serve(at, &tls(&fleet.keys, "prices-1"), reply_of_a_hostile_host);
    let get = async |path: String| {
        let mut call = ClientCall::new(fleet.member(VICTIM).addresses.callers, Method::GET, path);
        let limit = "1500".parse().expect("a value");
        call.headers.insert("coltsfootport-deadline-ms", limit);
        let path = call.path.clone();
        let answer = fleet.client.send(call).await;
        answer.unwrap_or_else(|e| panic!("{path}: {e}"))
    };
    until(async || (get("/prices/p".into()).await.status == 200).then_some(())).await;
    let (frame, reply, name) = (Some("frame"), Some("reply"), Some("name"));
    let cases = [
        ("garbage", 502, frame),
        ("giant", 502, frame),
        ("control", 502, frame),
        ("cut", 502, None),
        ("sum", 502, frame),
        ("length", 502, frame),
        ("short", 502, None),
        ("status", 502, frame),
        ("attempt", 502, reply),
        ("allowance", 502, reply),
        ("name", 502, name),
        ("hang", 504, None),
    ];
    for (mode, status, counted) in cases {
        let mut before = Vec::new();
        for what in ["frame", "reply", "name"] {
            let expected = rejected(&fleet, what).await + u64::from(counted == Some(what));
            before.push((what, expected));
        }
        let answer = get(format!("/prices/p?{mode}")).await;
        assert_eq!(answer.status, status, "{mode}: {answer:?}");
        let outcome = answer.header("coltsfootport-outcome");
        assert_eq!(outcome, Some("unknown"), "{mode}");
        for (what, expected) in before {
            assert_eq!(rejected(&fleet, what).await, expected, "{mode}: {what}");
        }
        for _ in 0..2 {
            assert_eq!(
                get("/bidding/lots/1".into()).await.status,
                200,
                "after {mode}"
            );
        }
        let good = async || (get("/prices/p".into()).await.body == "ok").then_some(());
        until(good).await;
    }
    let breaches = fleet.breaches().await.expect("statuses");
    assert_eq!(breaches, Vec::<String>::new());
    endpoint.close(0u32.into(), b"end");
}
