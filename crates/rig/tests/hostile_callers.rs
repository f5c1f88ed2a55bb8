//! Malformed, slow or excessive traffic from callers and targets must use bounded memory and not affect other calls.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::http::{ClientAnswer, ClientCall};
use coltsfootport_rig::target::Settings;
use http::{HeaderName, HeaderValue, Method};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use common::{EVENT_TIMEOUT, body_text, listener, metric, poll_until, resident_bytes};

/// The attacked node.
const VICTIM: &str = "bidding-1";

/// Largest body in these tests, in bytes.
const BODY_BYTES: usize = 64 * 1024;

/// Limit on the connections of callers in the test that opens thousands of them.
const CONNECTIONS: u64 = 2200;

/// Memory that a connection may use in addition to its body, in bytes.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Starts a fleet of two services with one instance each.
///
/// `node` and `target` are the settings of the node and target of the first service, `bidding`.
async fn start_fleet(node: Value, target: Settings) -> Fleet {
    let bidding = ServicePlan {
        node,
        target,
        ..ServicePlan::new("bidding", &["a"])
    };
    let plan = FleetPlan {
        services: vec![bidding, ServicePlan::new("prices", &["a"])],
        ..FleetPlan::default()
    };
    Fleet::start(plan).await.expect("failed to start the fleet")
}

fn victim_addr(fleet: &Fleet) -> SocketAddr {
    fleet.member(VICTIM).addresses.callers
}

async fn send(fleet: &Fleet, call: ClientCall) -> ClientAnswer {
    fleet.client.send(call).await.expect("call failed")
}

/// Builds a call to the attacked node with the given headers.
fn call(fleet: &Fleet, method: Method, path: &str, headers: &[(&str, &str)]) -> ClientCall {
    let mut call = ClientCall::new(victim_addr(fleet), method, path);
    call.timeout = EVENT_TIMEOUT;
    for (name, value) in headers {
        let name = HeaderName::try_from(*name).expect("valid header name");
        call.headers.append(
            name,
            HeaderValue::from_str(value).expect("valid header value"),
        );
    }
    call
}

/// Asserts that calls through every node to `services` succeed and that no invariant is violated.
async fn assert_serving(fleet: &Fleet, services: &[&str], after: &str) {
    for entry in fleet.entries() {
        for service in services {
            let call = ClientCall::new(entry, Method::GET, format!("/{service}/lots/1"));
            let answer = send(fleet, call).await;
            assert_eq!(answer.status, 200, "after {after}: {}", body_text(&answer));
        }
    }
    let breaches = fleet
        .breaches()
        .await
        .expect("failed to read the node statuses");
    assert_eq!(breaches, Vec::<String>::new(), "after {after}");
}

/// Requests `count` tokens for calls to `bidding`.
async fn request_tokens(fleet: &Fleet, count: usize) -> Vec<String> {
    let path = format!("/coltsfootport/tokens?service=bidding&count={count}");
    let answer = send(fleet, call(fleet, Method::POST, &path, &[])).await;
    let page: Value = serde_json::from_slice(&answer.body).expect("token response is not JSON");
    serde_json::from_value(page["tokens"].clone()).expect("tokens are not strings")
}

/// Sends bytes, shuts down the sending side if `shutdown` is set, and returns what the node sends until it closes the connection.
async fn send_raw(addr: SocketAddr, bytes: &[u8], shutdown: bool) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("failed to connect");
    let _ = stream.write_all(bytes).await;
    if shutdown {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let reading = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _ = reading.expect("node did not close the connection in time");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Raw request of a hostile caller and the expected outcome.
///
/// `status` is empty where the caller shuts down its sending side before the request is complete and no success may follow.
/// `counted` is the value of the `error` label under which the request is counted, if any.
struct RawRequest {
    name: &'static str,
    sent: String,
    status: &'static str,
    counted: Option<&'static str>,
}

// Sends each malformed request of the table on its own connection. If a length, number or header were used before it is
// checked, one request could crash the node, exhaust its memory, or run although it did not arrive completely.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_and_run_nothing() {
    let node = json!({ "limits": { "body_bytes": BODY_BYTES, "header_timeout_ms": 1000 } });
    let fleet = start_fleet(node, Settings::default()).await;
    let token = request_tokens(&fleet, 1).await.remove(0);
    let flipped = if token.ends_with('A') { "B" } else { "A" };
    let forged = format!("{}{flipped}", &token[..token.len() - 1]);
    let post = |headers: &str, body: &str| {
        format!(
            "POST /bidding/bids HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-rig-key: bad\r\n{headers}\r\n{body}"
        )
    };
    let with = |header: &str| post(&format!("{header}\r\ncontent-length: 3\r\n"), "bid");
    let line = |line: &str| format!("{line}\r\nhost: x\r\nconnection: close\r\n\r\n");
    let chunk = |size: usize| format!("{size:x}\r\n{}\r\n", "b".repeat(size));
    let chunked = "transfer-encoding: chunked\r\n";
    let large = format!("content-length: {}\r\n", 40 * BODY_BYTES);
    let (limit, bad, none) = (Some("too-large"), Some("bad-request"), None);
    let case = |name, sent, status, counted| RawRequest {
        name,
        sent,
        status,
        counted,
    };
    let cases = [
        case(
            "body above the limit",
            post(&large, &"b".repeat(40 * BODY_BYTES)),
            "413",
            limit,
        ),
        case(
            "content-length of 9 * 10^18 bytes",
            post("content-length: 9000000000000000000\r\n", "b"),
            "413",
            limit,
        ),
        case(
            "negative content-length",
            post("content-length: -1\r\n", "b"),
            "400",
            none,
        ),
        case(
            "two content-length headers",
            post("content-length: 1\r\ncontent-length: 2\r\n", "bb"),
            "400",
            none,
        ),
        case(
            "chunked body above the limit",
            post(chunked, &chunk(BODY_BYTES + 1)),
            "413",
            limit,
        ),
        case(
            "chunked body without the last chunk",
            post(chunked, &chunk(10)),
            "",
            none,
        ),
        case("truncated chunk", post(chunked, "ff\r\nbid"), "", none),
        case("invalid chunk size", post(chunked, "zz\r\nbid"), "400", bad),
        case(
            "truncated body",
            post("content-length: 10\r\n", "bid"),
            "",
            none,
        ),
        case(
            "header section above the limit",
            post(&format!("x: {}\r\n", "h".repeat(40_000)), ""),
            "431",
            none,
        ),
        case(
            "200 headers",
            post(&"x: y\r\n".repeat(200), ""),
            "431",
            none,
        ),
        case("header without a colon", post("bid\r\n", ""), "400", none),
        case("not HTTP", line("\x16\x03\x01\x02"), "400", none),
        case(
            "request line without a version",
            line("GET /bidding/lots/1"),
            "400",
            none,
        ),
        case(
            "path that is not a valid URI",
            line("GET /bidding/\u{7f}{} HTTP/1.1"),
            "400",
            none,
        ),
        case("path without a service", line("GET / HTTP/1.1"), "400", bad),
        case(
            "empty service name",
            line("GET //lots HTTP/1.1"),
            "400",
            bad,
        ),
        case(
            "asterisk-form request target",
            line("OPTIONS * HTTP/1.1"),
            "400",
            bad,
        ),
        case(
            "authority-form request target",
            line("CONNECT bidding:80 HTTP/1.1"),
            "400",
            bad,
        ),
        case(
            "unknown service",
            line("GET /x%00/lots HTTP/1.1"),
            "404",
            Some("unknown-service"),
        ),
        case(
            "malformed token",
            with("coltsfootport-token: x"),
            "403",
            Some("bad-token"),
        ),
        case(
            "forged token",
            with(&format!("coltsfootport-token: {forged}")),
            "403",
            Some("bad-token"),
        ),
        case(
            "8 kB token",
            with(&format!("coltsfootport-token: {}", "A".repeat(8000))),
            "403",
            Some("bad-token"),
        ),
        case(
            "token of another service",
            with(&format!("coltsfootport-token: {token}")).replace("/bidding/", "/prices/"),
            "403",
            Some("bad-token"),
        ),
        case(
            "two tokens",
            with("coltsfootport-token: x\r\ncoltsfootport-token: y"),
            "400",
            bad,
        ),
        case(
            "non-ASCII token",
            with("coltsfootport-token: \u{e9}"),
            "400",
            bad,
        ),
        case("try number 0", with("coltsfootport-try: 0"), "400", bad),
        case(
            "try number is not a number",
            with("coltsfootport-try: first"),
            "400",
            bad,
        ),
        case(
            "try number above 32 bits",
            with("coltsfootport-try: 4294967296"),
            "400",
            bad,
        ),
        case(
            "deadline of 0 ms",
            with("coltsfootport-deadline-ms: 0"),
            "504",
            Some("expired-before-dispatch"),
        ),
        case(
            "negative deadline",
            with("coltsfootport-deadline-ms: -5"),
            "400",
            bad,
        ),
        case(
            "deadline is not a number",
            with("coltsfootport-deadline-ms: soon"),
            "400",
            bad,
        ),
        case(
            "deadline above 64 bits",
            with("coltsfootport-deadline-ms: 18446744073709551616"),
            "400",
            bad,
        ),
    ];
    let operators = fleet.member(VICTIM).addresses.operators;
    for case in cases {
        let error = case.counted.unwrap_or("nothing");
        let label = format!("error=\"{error}\"");
        let before = metric(&fleet.client, operators, &label).await;
        let forged = metric(&fleet.client, operators, "what=\"token\"").await;
        let answer = send_raw(
            victim_addr(&fleet),
            case.sent.as_bytes(),
            case.status.is_empty(),
        )
        .await;
        let status_line = answer.strip_prefix("HTTP/1.1 ").unwrap_or_default();
        assert!(
            status_line.starts_with(case.status),
            "{}: {answer:?}",
            case.name
        );
        assert!(!status_line.starts_with('2'), "{}: {answer:?}", case.name);
        let counted = u64::from(case.counted.is_some());
        let after = metric(&fleet.client, operators, &label).await;
        assert_eq!(
            after,
            before + counted,
            "{}: requests counted with error={error}: {answer}",
            case.name
        );
        let bad_token = u64::from(error == "bad-token");
        let after = metric(&fleet.client, operators, "what=\"token\"").await;
        assert_eq!(
            after,
            forged + bad_token,
            "{}: rejected tokens counted",
            case.name
        );
        assert_serving(&fleet, &["bidding", "prices"], case.name).await;
    }
    for service in ["bidding", "prices"] {
        assert_eq!(
            fleet
                .runs(service, "bad")
                .await
                .expect("failed to read the target counts"),
            0
        );
    }
    let endless = with("coltsfootport-deadline-ms: 18446744073709551615");
    let answer = send_raw(victim_addr(&fleet), endless.as_bytes(), false).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

// More tokens are used at one node than its table can hold. If the table evicted records early to make room, a call could run
// twice; if refused calls counted towards its capacity, the node would refuse every call.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_table_of_tokens_refuses_new_ones_and_keeps_the_old() {
    let once = json!({ "once": { "capacity": 4, "retention_ms": 8000, "record_margin_ms": 1000 } });
    let fleet = start_fleet(once, Settings::default()).await;
    let bid = async |token: &str, number: &str, key: &str| {
        let headers = [
            ("coltsfootport-token", token),
            ("coltsfootport-try", number),
            ("x-rig-key", key),
        ];
        send(
            &fleet,
            call(&fleet, Method::POST, "/bidding/bids", &headers),
        )
        .await
    };
    let all = request_tokens(&fleet, 40).await;
    let (kept, refused) = all.split_at(4);
    for token in kept {
        assert_eq!(bid(token, "1", token).await.status, 200);
    }
    let mut fresh = String::new();
    for token in refused {
        let answer = bid(token, "1", token).await;
        assert_eq!(answer.status, 503, "{}", body_text(&answer));
        assert_eq!(answer.header("coltsfootport-error"), Some("table-full"));
        assert_eq!(answer.header("coltsfootport-outcome"), Some("not-run"));
        assert!(answer.header("coltsfootport-retry-after-ms").is_some());
        fresh = answer
            .header("coltsfootport-token")
            .expect("missing replacement token")
            .to_owned();
        assert_ne!(fresh, *token);
    }
    let untokened = send(&fleet, call(&fleet, Method::POST, "/bidding/bids", &[])).await;
    assert_eq!(untokened.header("coltsfootport-outcome"), Some("not-run"));
    assert_serving(&fleet, &["bidding", "prices"], "filling the token table").await;
    for token in kept {
        let answer = bid(token, "2", token).await;
        assert_eq!(answer.status, 200, "{}", body_text(&answer));
        assert_eq!(answer.header("coltsfootport-replayed"), Some("true"));
        assert_eq!(
            fleet
                .runs("bidding", token)
                .await
                .expect("failed to read the target counts"),
            1
        );
    }
    for token in refused {
        assert_eq!(
            fleet
                .runs("bidding", token)
                .await
                .expect("failed to read the target counts"),
            0
        );
    }
    poll_until(async || (bid(&fresh, "1", "later").await.status != 503).then_some(())).await;
}

// More calls than `limits.in_flight` arrive while the target hangs. If only calls at the target were limited and not those the
// node holds, the node would accept calls until its memory is exhausted.
#[tokio::test(flavor = "multi_thread")]
async fn calls_above_in_flight_are_shed_at_once() {
    let hung = Settings {
        hang: true,
        ..Settings::default()
    };
    let node = json!({ "limits": { "in_flight": 4 }, "admission": { "mode": "off" } });
    let fleet = start_fleet(node, hung).await;
    let mut held = JoinSet::new();
    for _ in 0..4 {
        let limit = [("coltsfootport-deadline-ms", "4000")];
        let call = call(&fleet, Method::GET, "/bidding/lots/1", &limit);
        let client = fleet.client.clone();
        held.spawn(async move { client.send(call).await });
    }
    let started = async || {
        let counts = fleet
            .counts("bidding")
            .await
            .expect("failed to read the target counts");
        (counts[0].started == 4).then_some(())
    };
    poll_until(started).await;
    for _ in 0..20 {
        let answer = send(&fleet, call(&fleet, Method::GET, "/prices/lots/1", &[])).await;
        assert_eq!(answer.header("coltsfootport-error"), Some("shed"));
        assert_eq!(answer.header("coltsfootport-outcome"), Some("not-run"));
        assert!(answer.header("coltsfootport-retry-after-ms").is_some());
    }
    assert!(
        held.try_join_next().is_none(),
        "a held call ended before the excess calls were shed"
    );
    let other = ClientCall::new(
        fleet.member("prices-1").addresses.callers,
        Method::GET,
        "/prices/lots/1",
    );
    assert_eq!(send(&fleet, other).await.status, 200);
    while let Some(ended) = held.join_next().await {
        let answer = ended.expect("task panicked").expect("call failed");
        assert_eq!(answer.status, 504, "{}", body_text(&answer));
    }
    let freed = call(&fleet, Method::GET, "/prices/lots/1", &[]);
    assert_eq!(send(&fleet, freed).await.status, 200);
}

/// Behaviour of a connection that never sends a complete request.
#[derive(Clone, Copy, Debug)]
enum SlowKind {
    Idle,
    Head,
    Body,
    Chunks,
}

/// Time after which an idle caller sends a byte: three times the node's timeout for the header section of a request.
///
/// When both queues of the listener are full, the kernel answers with SYN cookies and keeps no state. If the final packet of
/// such a handshake is dropped, the caller sees an open connection that the node never had; only sending a byte reveals this.
const IDLE_SENDS_AFTER: Duration = Duration::from_secs(9);

/// Opens a connection, sends a byte every 500 ms (idle ones only after [`IDLE_SENDS_AFTER`]), and returns when it is closed.
async fn send_slowly(addr: SocketAddr, slow: SlowKind) {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return;
    };
    let post = "POST /bidding/lots/1 HTTP/1.1\r\nhost: x\r\n";
    let start = match slow {
        SlowKind::Idle => String::new(),
        SlowKind::Head => "GET /bidding/lots/1 HTTP/1.1\r\nx: ".to_owned(),
        SlowKind::Body => format!("{post}content-length: 1000\r\n\r\n"),
        // One-byte chunks use the most memory if each is kept in its own buffer.
        SlowKind::Chunks => format!(
            "{post}transfer-encoding: chunked\r\n\r\n{}",
            "1\r\nb\r\n".repeat(8000)
        ),
    };
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    let mut answer = [0; 512];
    let began = Instant::now();
    loop {
        let silent = matches!(slow, SlowKind::Idle) && began.elapsed() < IDLE_SENDS_AFTER;
        match timeout(Duration::from_millis(500), stream.read(&mut answer)).await {
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(_)) => {}
            Err(_) if silent => {}
            Err(_) if stream.write_all(b"b").await.is_err() => return,
            Err(_) => {}
        }
    }
}

// Thousands of connections send nothing or a byte at a time. If connections were not limited, or a header section or body could
// take forever to arrive, the node would stop serving or run out of memory while its CPU is idle.
#[tokio::test(flavor = "multi_thread")]
async fn thousands_of_slow_connections_are_cut_and_others_served() {
    let node = json!({ "limits": { "connections": CONNECTIONS, "header_timeout_ms": 3000 } });
    let mut fleet = start_fleet(node, Settings::default()).await;
    let addr = victim_addr(&fleet);
    let pid = fleet
        .member_mut(VICTIM)
        .node()
        .expect("node is not running")
        .pid();
    let mut established = TcpStream::connect(addr).await.expect("failed to connect");
    assert_serving(&fleet, &["bidding"], "startup").await;
    let before = resident_bytes(pid);
    let mut slow = JoinSet::new();
    for i in 0..3000 {
        let kind = [
            SlowKind::Idle,
            SlowKind::Head,
            SlowKind::Body,
            SlowKind::Chunks,
        ][i % 4];
        slow.spawn(send_slowly(addr, kind));
        // The kernel drops connection attempts that exceed the listen queue and retries them only after seconds.
        if i % 25 == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }
    let mut peak = 0;
    for _ in 0..5 {
        sleep(Duration::from_millis(200)).await;
        let request = b"GET /bidding/lots/1 HTTP/1.1\r\nhost: x\r\n\r\n";
        established
            .write_all(request)
            .await
            .expect("established connection was closed");
        let mut answer = [0; 4096];
        let read = timeout(EVENT_TIMEOUT, established.read(&mut answer)).await;
        let read = read
            .expect("no response in time")
            .expect("failed to read the response");
        assert!(
            answer[..read].starts_with(b"HTTP/1.1 200"),
            "no 200 response on the established connection"
        );
        let entry = fleet.member("prices-1").addresses.callers;
        for service in ["bidding", "prices"] {
            let call = ClientCall::new(entry, Method::GET, format!("/{service}/lots/1"));
            assert_eq!(
                send(&fleet, call).await.status,
                200,
                "call through another node"
            );
        }
        peak = peak.max(resident_bytes(pid));
    }
    let grown = peak.saturating_sub(before);
    println!(
        "3000 slow connections, limit {CONNECTIONS}: memory grew by {grown} bytes to {peak} bytes"
    );
    assert!(
        grown < CONNECTIONS * CONNECTION_BYTES,
        "memory grew by {grown} bytes"
    );
    let cut = async {
        while let Some(ended) = slow.join_next().await {
            ended.expect("task panicked");
        }
    };
    timeout(3 * EVENT_TIMEOUT, cut)
        .await
        .expect("slow connections were not closed in time");
    assert_serving(&fleet, &["bidding", "prices"], "the slow connections").await;
}

/// Event observed by the hostile target.
#[derive(Debug)]
enum TargetEvent {
    /// The target received a request with this header section.
    Head(String),
    /// The node closed the connection after a request with this mode.
    Dropped(String),
}

/// Accepts connections of a node; the query string of each request selects the fault of the response.
async fn hostile_target(listener: TcpListener, tx: mpsc::UnboundedSender<TargetEvent>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_faulty(stream, tx.clone()));
    }
}

/// Serves one connection of the hostile target.
async fn serve_faulty(mut stream: TcpStream, tx: mpsc::UnboundedSender<TargetEvent>) {
    let mut head = Vec::new();
    loop {
        head.clear();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let mode = path.split_once('?').map_or("", |(_, mode)| mode).to_owned();
        let _ = tx.send(TargetEvent::Head(head));
        // The start of the response, and the part repeated until the node closes the connection; empty if nothing follows.
        let response = |start: &str, more: &str| (start.to_owned(), more.repeat(1000));
        let (start, more) = match mode.as_str() {
            "malformed" => response("HTTP/1.1 banana\r\n\r\n", ""),
            "oversized" => response("HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n", "b"),
            "chunks" => response(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                "5\r\nhello\r\n",
            ),
            "headers" => response("HTTP/1.1 200 OK\r\n", "x-more: header\r\n"),
            "header" => response("HTTP/1.1 200 OK\r\nx: ", "x"),
            "hints" => response("", "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"),
            "cut" => response("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf", ""),
            "hang" => (String::new(), String::new()),
            "close" => return,
            "surplus" => {
                let ok = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                response(&format!("{ok}{}", ok.replace("ok", "no")), "")
            }
            _ => {
                let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                let _ = stream.write_all(ok).await;
                continue;
            }
        };
        let _ = stream.write_all(start.as_bytes()).await;
        while !more.is_empty() && stream.write_all(more.as_bytes()).await.is_ok() {}
        if mode == "cut" {
            return;
        }
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        let _ = tx.send(TargetEvent::Dropped(mode));
        return;
    }
}

/// Fault of a target's response and the expected result for the caller.
struct ResponseCase {
    mode: &'static str,
    status: u16,
    error: Option<&'static str>,
    dropped: bool,
}

// The target sends each faulty response of the table; calls made afterwards must still succeed. If an incomplete response were
// forwarded, or a connection with unread response bytes reused, a caller would get a partial response or that of another
// call. One response must not grow the node's memory without a bound either.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_answers_anything_harms_its_own_call_only() {
    let listener = listener().await;
    let (tx, mut events) = mpsc::unbounded_channel();
    let node = json!({
        "target": { "address": listener.local_addr().expect("listener has an address") },
        "limits": { "body_bytes": BODY_BYTES },
        "routing": { "eject_share": 0 },
    });
    let serving = tokio::spawn(hostile_target(listener, tx));
    let mut fleet = start_fleet(node, Settings::default()).await;
    let (failed, expired) = (Some("target-failed"), Some("expired-in-flight"));
    let case = |mode, status, error, dropped| ResponseCase {
        mode,
        status,
        error,
        dropped,
    };
    let cases = [
        case("malformed", 502, failed, true),
        case("oversized", 502, failed, true),
        case("chunks", 502, failed, true),
        case("headers", 502, failed, true),
        case("header", 502, failed, true),
        case("hints", 504, expired, true),
        case("cut", 502, failed, false),
        case("close", 502, failed, false),
        case("hang", 504, expired, true),
        case("surplus", 200, None, true),
    ];
    let pid = fleet
        .member_mut(VICTIM)
        .node()
        .expect("node is not running")
        .pid();
    for ResponseCase {
        mode,
        status,
        error,
        dropped,
    } in cases
    {
        let path = format!("/bidding/lots/1?{mode}");
        let limit = [("coltsfootport-deadline-ms", "1500")];
        let answer = send(&fleet, call(&fleet, Method::GET, &path, &limit)).await;
        assert_eq!(answer.status, status, "{mode}: {}", body_text(&answer));
        assert_eq!(answer.header("coltsfootport-error"), error, "{mode}");
        let outcome = if error.is_some() { "unknown" } else { "ran" };
        assert_eq!(
            answer.header("coltsfootport-outcome"),
            Some(outcome),
            "{mode}"
        );
        let until_dropped = async {
            while let Some(next) = events.recv().await {
                if matches!(next, TargetEvent::Dropped(of) if of == mode) {
                    return;
                }
            }
        };
        if dropped {
            timeout(EVENT_TIMEOUT, until_dropped).await.expect(mode);
        }
        for _ in 0..3 {
            let answer = send(&fleet, call(&fleet, Method::GET, "/bidding/lots/2", &[])).await;
            assert_eq!(
                (answer.status.as_u16(), body_text(&answer)),
                (200, "ok".to_owned()),
                "after {mode}"
            );
        }
        assert_serving(&fleet, &["prices"], mode).await;
    }
    let used = resident_bytes(pid);
    println!("{used} bytes resident after all faulty responses");
    assert!(used < 96 << 20, "{used} bytes resident");
    serving.abort();
}

// A caller sends headers that nodes set for targets. If nodes forwarded them unchanged, an external caller could join another
// caller's request or choose its own class and deadline.
#[tokio::test(flavor = "multi_thread")]
async fn internal_headers_of_callers_never_reach_the_target() {
    let listener = listener().await;
    let (tx, mut events) = mpsc::unbounded_channel();
    let node =
        json!({ "target": { "address": listener.local_addr().expect("listener has an address") } });
    let serving = tokio::spawn(hostile_target(listener, tx));
    let fleet = start_fleet(node, Settings::default()).await;
    let forged = [
        ("coltsfootport-context", "forged"),
        ("Coltsfootport-Class", "forged"),
        ("coltsfootport-request", "forged"),
        ("coltsfootport-outcome", "forged"),
        ("coltsfootport-new-header", "forged"),
        ("connection", "x-hop"),
        ("x-hop", "forged"),
        ("proxy-authorization", "forged"),
        ("x-own", "kept"),
    ];
    for entry in fleet.entries() {
        let call = ClientCall {
            addr: entry,
            ..call(&fleet, Method::GET, "/bidding/lots/1", &forged)
        };
        assert_eq!(send(&fleet, call).await.status, 200);
        let head = match timeout(EVENT_TIMEOUT, events.recv())
            .await
            .expect("no request in time")
        {
            Some(TargetEvent::Head(head)) => head,
            other => panic!("unexpected event: {other:?}"),
        };
        assert!(!head.contains("forged"), "{head}");
        assert!(head.contains("x-own: kept"), "{head}");
        for own in ["context", "class: browse", "deadline-ms", "request"] {
            assert!(head.contains(&format!("coltsfootport-{own}")), "{head}");
        }
    }
    serving.abort();
}
