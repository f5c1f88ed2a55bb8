//! Forged, excessive or malformed traffic from a peer must not affect the node or unrelated calls.

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

use common::{body_text, metric, poll_until};
use hostile_peer::{HostilePeer, encode_head, start_server};

/// The attacked node.
const VICTIM: &str = "bidding-1";

/// Node name in the certificate of the hostile peer.
const ATTACKER: &str = "bidding-9";

async fn start_fleet() -> Fleet {
    start_fleet_with_frame_timeout(1000).await
}

/// Starts a fleet whose nodes wait at most `frame_ms` milliseconds for a complete frame.
async fn start_fleet_with_frame_timeout(frame_ms: u64) -> Fleet {
    let plan = FleetPlan {
        services: vec![
            ServicePlan::new("bidding", &["a"]),
            ServicePlan::new("prices", &["a"]),
        ],
        node: json!({ "limits": { "header_timeout_ms": frame_ms, "peer_streams": 1024 } }),
        ..FleetPlan::default()
    };
    Fleet::start(plan).await.expect("failed to start the fleet")
}

fn node_program() -> std::path::PathBuf {
    Programs::beside_this()
        .expect("programs not found beside the test")
        .node
}

/// Returns the `tls` settings section of the node `name`.
fn tls_section(keys: &FleetKeys, name: &str) -> Value {
    let sections = keys
        .sections(&node_program(), name)
        .expect("failed to create the keys");
    let found = sections.into_iter().find(|part| part.get("tls").is_some());
    found.expect("missing `tls` section")
}

/// Connects the hostile peer to the attacked node with a valid certificate of the fleet.
async fn connect_attacker(fleet: &Fleet) -> HostilePeer {
    connect_with_identity(fleet, &tls_section(&fleet.keys, ATTACKER)).await
}

async fn connect_with_identity(fleet: &Fleet, identity: &Value) -> HostilePeer {
    let to = fleet.member(VICTIM).addresses.peers;
    let peer = HostilePeer::connect(to, VICTIM, identity, Some(identity)).await;
    peer.expect("failed to connect to the node")
}

/// Reads how often the attacked node has rejected something for the reason `what`.
async fn rejected_count(fleet: &Fleet, what: &str) -> u64 {
    let operators = fleet.member(VICTIM).addresses.operators;
    metric(
        &fleet.client,
        operators,
        &format!("rejected_total{{what=\"{what}\"}}"),
    )
    .await
}

/// Asserts that calls through every node to both services succeed and that no invariant is violated.
async fn assert_serving(fleet: &Fleet, after: &str) {
    for entry in fleet.entries() {
        for service in ["bidding", "prices"] {
            let call = ClientCall::new(entry, Method::GET, format!("/{service}/lots/1"));
            let answer = fleet.client.send(call).await.expect("call failed");
            assert_eq!(answer.status, 200, "after {after}: {}", body_text(&answer));
        }
    }
    let breaches = fleet
        .breaches()
        .await
        .expect("failed to read the node statuses");
    assert_eq!(breaches, Vec::<String>::new(), "after {after}");
}

/// Encodes a valid call frame with its body after applying `change` to the frame.
fn call_bytes(change: fn(&mut CallFrame)) -> Vec<u8> {
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
    let mut bytes = encode_head(&PeerRequest::Call(Box::new(frame)));
    bytes.extend(body);
    bytes
}

fn control_bytes(request: ControlRequest) -> Vec<u8> {
    encode_head(&PeerRequest::Control(request))
}

/// Builds a greeting whose numbers are at their extremes.
fn hello_frame(node: &str, state: NodeState) -> HelloFrame {
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

fn digest_frame(node: &str) -> DigestFrame {
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

fn news_frame(node: &str) -> NewsFrame {
    NewsFrame {
        node: node.into(),
        notices: Vec::new(),
        entries: Vec::new(),
    }
}

// Clients without a certificate or with one from another fleet must be rejected and counted. If the peer listener accepted
// them, anyone who can reach its port could run calls at the target or change the node's view of the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_are_refused_and_counted() {
    let fleet = start_fleet().await;
    let trusted = tls_section(&fleet.keys, ATTACKER);
    let other = FleetKeys::random(&node_program()).expect("failed to create the keys");
    let cases = [
        ("client without a certificate", None),
        (
            "certificate of another fleet",
            Some(tls_section(&other, VICTIM)),
        ),
    ];
    let to = fleet.member(VICTIM).addresses.peers;
    for (name, own) in cases {
        let before = rejected_count(&fleet, "certificate").await;
        if let Some(peer) = HostilePeer::connect(to, VICTIM, &trusted, own.as_ref()).await {
            let reply = peer.send_control(ControlRequest::Ping).await;
            assert!(reply.is_none(), "{name}: {reply:?}");
            peer.connection.closed().await;
        }
        poll_until(async || (rejected_count(&fleet, "certificate").await > before).then_some(()))
            .await;
        assert_serving(&fleet, name).await;
    }
}

/// Bytes sent by a peer with a valid certificate, and the rejection they are counted as, if any.
struct FrameCase {
    name: &'static str,
    bytes: Vec<u8>,
    counted: Option<&'static str>,
}

// A single message of a defective or malicious node, sent with a valid certificate, must not take another node down.
// Using a length, number or name of a frame unchecked leads to a 4 GiB allocation, overflow of an `Instant`, an index out of
// bounds, or a second request smuggled into the target's connection.
#[tokio::test(flavor = "multi_thread")]
async fn frames_of_a_hostile_peer_end_on_their_own_stream() {
    let fleet = start_fleet().await;
    let peer = connect_attacker(&fleet).await;
    let frame = Some("frame");
    let leaving = |name: &str| StateReportFrame {
        node: name.into(),
        incarnation: 0,
        state: NodeState::Leaving,
        tick: u64::MAX,
    };
    let case = |name, bytes, counted| FrameCase {
        name,
        bytes,
        counted,
    };
    let cases = [
        case(
            "undecodable head",
            vec![0, 0, 0, 4, 255, 255, 255, 255],
            frame,
        ),
        case("empty head", vec![0, 0, 0, 0], frame),
        case("4 GiB head", vec![255; 64], frame),
        case("truncated length prefix", vec![0, 0], None),
        case("truncated head", vec![0, 0, 1, 0, 1], None),
        case(
            "wrong body checksum",
            call_bytes(|f| f.body_crc ^= 1),
            frame,
        ),
        case("4 GiB body", call_bytes(|f| f.body_len = u32::MAX), frame),
        case("truncated body", call_bytes(|f| f.body_len = 100), None),
        case("unknown class", call_bytes(|f| f.class = 200), frame),
        case(
            "invalid method",
            call_bytes(|f| f.method = "P OST".into()),
            frame,
        ),
        case(
            "line break in a header value",
            call_bytes(|f| {
                f.headers = vec![HeaderFrame {
                    name: "x".into(),
                    value: b"a\r\nb: c".to_vec(),
                }];
            }),
            frame,
        ),
        case(
            "path that is not a valid URI",
            call_bytes(|f| f.path = "no path".into()),
            None,
        ),
        case(
            "maximum remaining time",
            call_bytes(|f| f.remaining_us = u64::MAX),
            None,
        ),
        case(
            "no remaining time",
            call_bytes(|f| f.remaining_us = 0),
            None,
        ),
        case(
            "call to a service the node does not host",
            call_bytes(|f| f.service = "prices".into()),
            None,
        ),
        case(
            "state report about an unknown node",
            control_bytes(ControlRequest::StateReports(vec![leaving("x")])),
            None,
        ),
        case(
            "greeting with extreme values",
            control_bytes(ControlRequest::Greet(hello_frame(
                ATTACKER,
                NodeState::Serving,
            ))),
            None,
        ),
        case(
            "digest with extreme revisions",
            control_bytes(ControlRequest::Digest(digest_frame(ATTACKER))),
            None,
        ),
        case(
            "pull since revision 0",
            control_bytes(ControlRequest::PullSince(0)),
            None,
        ),
        case(
            "list pull from the highest revision",
            control_bytes(ControlRequest::PullList(u64::MAX)),
            None,
        ),
        case(
            "entry with malformed JSON",
            control_bytes(ControlRequest::Entries(vec![EntryFrame {
                key: "documents/".into(),
                revision: 2,
                value: "{".into(),
            }])),
            None,
        ),
    ];
    for case in cases {
        let before = rejected_count(&fleet, "frame").await;
        peer.send(&case.bytes).await;
        if case.counted.is_some() {
            poll_until(async || {
                (rejected_count(&fleet, "frame").await == before + 1).then_some(())
            })
            .await;
        } else {
            assert_eq!(
                rejected_count(&fleet, "frame").await,
                before,
                "{}",
                case.name
            );
        }
        assert_serving(&fleet, case.name).await;
    }
}

// Guards against request smuggling: a peer sends hop-by-hop or framing headers that do not match the body. If the host
// forwarded them unchanged, the target would read the body of one call as the request of another.
#[tokio::test(flavor = "multi_thread")]
async fn framing_headers_of_a_peer_do_not_reach_the_target() {
    let fleet = start_fleet().await;
    let peer = connect_attacker(&fleet).await;
    for (name, value) in [
        ("content-length", "90"),
        ("transfer-encoding", "chunked"),
        ("connection", "close"),
    ] {
        let before = fleet
            .counts("bidding")
            .await
            .expect("failed to read the target counts")[0]
            .started;
        let mut bytes = call_bytes(|f| f.remaining_us = 3_000_000);
        let PeerRequest::Call(mut frame) = postcard::from_bytes(&bytes[4..bytes.len() - 3])
            .expect("failed to decode the encoded frame")
        else {
            unreachable!("the frame is a call")
        };
        frame.headers = vec![HeaderFrame {
            name: name.into(),
            value: value.into(),
        }];
        bytes = encode_head(&PeerRequest::Call(frame));
        bytes.extend(b"bid");
        let reply = peer.send(&bytes).await;
        let echo = String::from_utf8_lossy(&reply).into_owned();
        assert!(echo.contains("\"body_bytes\":3"), "{name}: {echo}");
        let after = fleet
            .counts("bidding")
            .await
            .expect("failed to read the target counts")[0]
            .started;
        assert_eq!(after, before + 1, "{name}");
        assert_serving(&fleet, name).await;
    }
}

// A peer sends greetings, announcements, digests and news under another node's name. If the name in the message were
// trusted instead of the name in the certificate, a healthy node could lose its calls or be impersonated.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_speaks_under_the_name_of_another() {
    let fleet = start_fleet().await;
    let forged = [
        ControlRequest::Greet(hello_frame("prices-1", NodeState::Leaving)),
        ControlRequest::Announce(hello_frame("prices-1", NodeState::Leaving)),
        ControlRequest::Announce(hello_frame("PRICES 1", NodeState::Leaving)),
        ControlRequest::Digest(digest_frame("prices-1")),
        ControlRequest::News(news_frame("prices-1")),
    ];
    for request in forged {
        let name = format!("{:?}", request.kind());
        let before = rejected_count(&fleet, "name").await;
        let peer = connect_attacker(&fleet).await;
        assert!(peer.send_control(request).await.is_none(), "{name}");
        poll_until(async || (rejected_count(&fleet, "name").await > before).then_some(())).await;
        assert_serving(&fleet, &name).await;
    }
    let peer = connect_attacker(&fleet).await;
    let request = ControlRequest::Announce(hello_frame(ATTACKER, NodeState::Serving));
    assert!(matches!(
        peer.send_control(request).await,
        Some(ControlReply::Done)
    ));
}

// One peer opens many connections with the maximum number of streams each and completes no frame. If all peers shared one
// stream limit, or a frame could take forever to arrive, calls between other nodes would expire.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_opens_thousands_of_streams_does_not_keep_others_out() {
    // With a long frame timeout only the connection limit bounds the peer; with a short one the timeout also closes the streams
    // of its last connections.
    for frame_ms in [60_000, 1000] {
        let mut fleet = start_fleet_with_frame_timeout(frame_ms).await;
        assert_serving(&fleet, "startup").await;
        let identity = tls_section(&fleet.keys, ATTACKER);
        let mut held = Vec::new();
        let mut streams = 0;
        for _ in 0..18 {
            let peer = connect_with_identity(&fleet, &identity).await;
            let mut open = Vec::new();
            for _ in 0..1000 {
                let opening = peer.send_unfinished(&[0, 0, 1]);
                match tokio::time::timeout(Duration::from_millis(500), opening).await {
                    Ok(Some(tx)) => open.push(tx),
                    _ => break,
                }
            }
            streams += open.len();
            held.push((peer, open));
        }
        assert!(streams >= 17_000, "{streams} streams");
        assert_serving(&fleet, "opening the streams").await;
        let node = fleet
            .member_mut(VICTIM)
            .node()
            .expect("node is not running")
            .pid();
        let used = common::resident_bytes(node);
        println!("{streams} streams, {used} bytes resident");
        assert!(used < 112 << 20, "{used} bytes resident");
        let (_, last) = held.last_mut().expect("no connection was opened");
        let ended = last.last_mut().expect("no stream was opened").stopped();
        if frame_ms < 60_000 {
            let ended = tokio::time::timeout(common::EVENT_TIMEOUT, ended).await;
            assert!(
                ended.is_ok(),
                "an unfinished stream is still open after the frame timeout"
            );
        }
    }
}

// A peer sends state reports of tens of thousands of nonexistent nodes and documents of a hundred nonexistent services. If
// nodes stored and forwarded these without a bound, the memory and traffic of every node would grow with them.
#[tokio::test(flavor = "multi_thread")]
async fn words_and_documents_that_a_peer_invents_take_bounded_room() {
    let mut fleet = start_fleet().await;
    let peer = connect_attacker(&fleet).await;
    let nodes = [VICTIM, "prices-1"];
    let pids = nodes.map(|name| {
        fleet
            .member_mut(name)
            .node()
            .expect("node is not running")
            .pid()
    });
    let before = pids.map(common::resident_bytes);
    for batch in 0..4 {
        let state_report = |i| StateReportFrame {
            node: format!("invented-{batch}-{i}").into(),
            incarnation: 1,
            state: NodeState::Leaving,
            tick: 1,
        };
        let reports = (0..8000).map(state_report).collect();
        peer.send_control(ControlRequest::StateReports(reports))
            .await;
    }
    for i in 0..100 {
        let entry = EntryFrame {
            key: format!("documents/invented-{i}").into(),
            revision: 1000 + i,
            value: "x".repeat(900_000),
        };
        peer.send_control(ControlRequest::Entries(vec![entry]))
            .await;
    }
    for ((name, pid), before) in nodes.iter().zip(pids).zip(before) {
        let grown = common::resident_bytes(pid).saturating_sub(before);
        println!(
            "{name}: memory growth after 32000 forged state reports and 90 MB of documents: {grown} bytes"
        );
        assert!(grown < 80 << 20, "{name}: memory grew by {grown} bytes");
    }
    assert_serving(&fleet, "forged state reports and documents").await;
}

// A peer requests refusal of tokens of other nodes, of other incarnations, and of more tokens than the table holds. If a
// record were kept for every token in a request, memory would grow with each message and a call that its caller may still
// retry would be refused permanently.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_invented_tokens_take_no_unbounded_room() {
    let mut fleet = start_fleet().await;
    let peer = connect_attacker(&fleet).await;
    let greeted = peer
        .send_control(ControlRequest::Greet(hello_frame(
            ATTACKER,
            NodeState::Serving,
        )))
        .await;
    let Some(ControlReply::Hello(victim)) = greeted else {
        panic!("unexpected reply to the greeting: {greeted:?}")
    };
    let token = |id, home: &str, incarnation| Token {
        id,
        service: ServiceName::from("bidding"),
        home: NodeName::from(home),
        incarnation: Incarnation(incarnation),
        tick: Tick(victim.report.tick),
    };
    for (name, foreign) in [
        ("token of another node", token(1, "prices-1", 7)),
        ("token of another incarnation", token(1, VICTIM, 7)),
    ] {
        let refuse = ControlRequest::Refuse {
            token: foreign,
            up_to: u32::MAX,
        };
        let reply = peer.send_control(refuse).await;
        let unknown = matches!(reply, Some(ControlReply::Refuse(RefusalFrame::Unknown)));
        assert!(unknown, "{name}: {reply:?}");
    }
    let pid = fleet
        .member_mut(VICTIM)
        .node()
        .expect("node is not running")
        .pid();
    let before = common::resident_bytes(pid);
    for id in 0..2000 {
        let refuse = ControlRequest::Refuse {
            token: token(id, VICTIM, victim.report.incarnation),
            up_to: u32::MAX,
        };
        assert!(peer.send_control(refuse).await.is_some());
    }
    let grown = common::resident_bytes(pid).saturating_sub(before);
    println!("memory growth after 2000 forged tokens: {grown} bytes");
    assert!(grown < 16 << 20, "memory grew by {grown} bytes");
    assert_serving(&fleet, "refusal requests").await;
    let forged = call_bytes(|f| {
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
    let before = fleet
        .counts("bidding")
        .await
        .expect("failed to read the target counts")[0]
        .started;
    peer.send(&forged).await;
    let after = fleet
        .counts("bidding")
        .await
        .expect("failed to read the target counts")[0]
        .started;
    assert_eq!(
        after, before,
        "a call with a token of another home node was run"
    );
}

/// Builds the reply of a hostile host; the query string of the call's path selects the fault.
fn faulty_reply(request: PeerRequest) -> Option<Vec<u8>> {
    let report = |state| hello_frame("prices-1", state).report;
    let call = match request {
        PeerRequest::Call(call) => call,
        PeerRequest::Control(ControlRequest::Greet(_)) => {
            let mut greeting = hello_frame("prices-1", NodeState::Serving);
            greeting.report.tick = 1;
            greeting.report.level_class = 7;
            greeting.report.revision = 0;
            let reply = ControlReply::Hello(greeting);
            return Some(encode_head(&PeerReply::Control(reply)));
        }
        PeerRequest::Control(_) => {
            return Some(encode_head(&PeerReply::Control(ControlReply::Done)));
        }
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
        report: report(NodeState::Serving),
        body_len: 2,
        body_crc: checksum(b"ok"),
    };
    reply.report.level_class = 7;
    reply.report.revision = 0;
    match mode {
        "garbage" => return Some(vec![0, 0, 0, 4, 255, 255, 255, 255]),
        "giant" => return Some(vec![255; 64]),
        "control" => return Some(encode_head(&PeerReply::Control(ControlReply::Done))),
        "cut" => return Some(vec![0, 0, 1, 0, 1]),
        "hang" => return None,
        "sum" => reply.body_crc ^= 1,
        "length" => reply.body_len = u32::MAX,
        "short" => reply.body_len = 100,
        "attempt" => reply.attempt ^= 1,
        "allowance" => reply.allowance_left = u16::MAX,
        "name" => reply.report = hello_frame("bidding-1", NodeState::Leaving).report,
        _ => {}
    }
    let mut bytes = encode_head(&PeerReply::Call(Box::new(reply)));
    bytes.extend(b"ok");
    Some(bytes)
}

// A host with a valid certificate sends each faulty reply of the table; calls made afterwards must still succeed. If a reply
// were used before its length, checksum, attempt and node name are checked, the caller would get a wrong answer, or the entry
// node would accept a report that one host makes about another.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_replies_anything_harms_its_own_call_only() {
    let mut fleet = start_fleet().await;
    assert_serving(&fleet, "startup").await;
    let host = fleet.member_mut("prices-1");
    host.kill_node().expect("failed to kill the node");
    let at = host.addresses.peers;
    let endpoint = start_server(at, &tls_section(&fleet.keys, "prices-1"), faulty_reply);
    let get = async |path: String| {
        let mut call = ClientCall::new(fleet.member(VICTIM).addresses.callers, Method::GET, path);
        let limit = "1500".parse().expect("valid header value");
        call.headers.insert("coltsfootport-deadline-ms", limit);
        let path = call.path.clone();
        let answer = fleet.client.send(call).await;
        answer.unwrap_or_else(|e| panic!("{path}: {e}"))
    };
    poll_until(async || (get("/prices/p".into()).await.status == 200).then_some(())).await;
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
            let expected = rejected_count(&fleet, what).await + u64::from(counted == Some(what));
            before.push((what, expected));
        }
        let answer = get(format!("/prices/p?{mode}")).await;
        assert_eq!(answer.status, status, "{mode}: {answer:?}");
        let outcome = answer.header("coltsfootport-outcome");
        assert_eq!(outcome, Some("unknown"), "{mode}");
        for (what, expected) in before {
            assert_eq!(
                rejected_count(&fleet, what).await,
                expected,
                "{mode}: {what}"
            );
        }
        for _ in 0..2 {
            assert_eq!(
                get("/bidding/lots/1".into()).await.status,
                200,
                "after {mode}"
            );
        }
        let good = async || (get("/prices/p".into()).await.body == "ok").then_some(());
        poll_until(good).await;
    }
    let breaches = fleet
        .breaches()
        .await
        .expect("failed to read the node statuses");
    assert_eq!(breaches, Vec::<String>::new());
    endpoint.close(0u32.into(), b"end");
}
