//! Tests of the operators listener and the commands that query it, with a stub for the node tasks.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use bytes::Bytes;
use coltsfootport::http_client::fetch;
use coltsfootport::metrics::Metrics;
use coltsfootport::operators::{
    DrainReply, HealthReport, NodeAddress, OperatorQuery, QUERY_QUEUE_CAPACITY, StatusReport,
    TimelinePage, serve,
};
use coltsfootport_core::id::RequestId;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::timeline::{Event, Record, Ring, Stamp};
use http::{Request, Response};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const LIMIT: Duration = Duration::from_secs(10);

/// State of the stub that answers operator queries.
struct StubNode {
    name: &'static str,
    ready: bool,
    ring: Ring,
    /// Records that are added one at a time, each after a timeline query.
    upcoming: VecDeque<Record>,
    nodes: Vec<SocketAddr>,
}

impl StubNode {
    fn new(name: &'static str, records: &[(u64, u128)]) -> Self {
        let mut ring = Ring::new(3);
        for (wall_ms, request) in records {
            ring.push(cancelled_record(*wall_ms, name, *request));
        }
        Self {
            name,
            ready: true,
            ring,
            upcoming: VecDeque::new(),
            nodes: Vec::new(),
        }
    }

    fn answer(&mut self, query: OperatorQuery) {
        match query {
            OperatorQuery::Status(reply) => drop(reply.send(self.status())),
            OperatorQuery::Timeline { filter, reply } => {
                let (records, dropped) = (self.ring.select(filter), self.ring.dropped());
                drop(reply.send(TimelinePage { records, dropped }));
                self.upcoming
                    .pop_front()
                    .into_iter()
                    .for_each(|record| self.ring.push(record));
            }
            OperatorQuery::Nodes(reply) => drop(reply.send(self.addresses())),
            OperatorQuery::Health(reply) => {
                let phase = if self.ready { "serving" } else { "leaving" };
                drop(reply.send(HealthReport {
                    ready: self.ready,
                    phase: phase.into(),
                }));
            }
            OperatorQuery::Drain(reply) => {
                let begun = std::mem::take(&mut self.ready);
                drop(reply.send(DrainReply {
                    begun,
                    in_flight: 2,
                }));
            }
        }
    }

    fn status(&self) -> StatusReport {
        let report = json!({
            "node": self.name, "incarnation": "ff", "service": "bidding", "domain": "", "phase": "serving",
            "documents": [{"service": "bidding", "revision": 9, "in_force": 8,
                "rejected": ["line 3: unknown class\u{1b}[2J"]}],
            "platform": {"reachable": false, "last_read_ms": 4000, "revision": 9, "reader": false},
            "peers": [{"node": "archive-1", "service": "archive", "state": "down", "in_flight": 0,
                "ejected": true}],
            "admission": {"mode": "learnt", "limit": 60, "in_flight": 5, "queued": 2, "level": 1},
            "tokens": {"kept": 3, "capacity": 1000},
            "invariants": [{"invariant": "allowance-grew", "breaches": 1}],
        });
        serde_json::from_value(report).unwrap()
    }

    fn addresses(&self) -> Vec<NodeAddress> {
        let address = |(index, operators): (usize, &SocketAddr)| NodeAddress {
            node: format!("bidding-{index}").as_str().into(),
            service: "bidding".into(),
            operators: *operators,
        };
        self.nodes.iter().enumerate().map(address).collect()
    }
}

fn cancelled_record(wall_ms: u64, node: &str, request: u128) -> Record {
    let at = Stamp {
        wall_ms,
        counter: 0,
    };
    let event = Event::Cancelled {
        elapsed_us: wall_ms,
    };
    Record {
        at,
        node: node.into(),
        request: Some(RequestId(request)),
        event,
    }
}

async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn serve_stub(listener: TcpListener, mut state: StubNode, metrics: Metrics) {
    let (tx, mut rx) = mpsc::channel(QUERY_QUEUE_CAPACITY);
    tokio::spawn(async move {
        while let Some(query) = rx.recv().await {
            state.answer(query);
        }
    });
    tokio::spawn(serve(listener, tx, metrics));
}

async fn start_stub(state: StubNode) -> SocketAddr {
    let (listener, addr) = bind_listener().await;
    serve_stub(listener, state, Metrics::new().unwrap());
    addr
}

async fn request(addr: SocketAddr, method: &str, path: &str) -> Response<Bytes> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(Bytes::new()))
        .unwrap();
    fetch(addr, req, LIMIT).await.unwrap()
}

fn body_text(answer: &Response<Bytes>) -> &str {
    std::str::from_utf8(answer.body()).unwrap()
}

async fn run_command(line: String) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coltsfootport"));
    command.args(line.split_whitespace());
    tokio::task::spawn_blocking(move || command.output().unwrap())
        .await
        .unwrap()
}

#[tokio::test]
async fn each_path_accepts_only_its_method() {
    let (json, lines) = ("application/json", "application/x-ndjson");
    let (plain, html) = ("text/plain; charset=utf-8", "text/html");
    let in_flight = "coltsfootport_in_flight{stage=\"at-target\"} 0\n";
    let cases = [
        ("GET", "/status", 200, json, "\"node\":\"bidding-1\""),
        (
            "GET",
            "/metrics",
            200,
            "text/plain; version=0.0.4",
            in_flight,
        ),
        ("GET", "/nodes", 200, json, "[]"),
        ("GET", "/timeline", 200, lines, "\"kind\":\"cancelled\""),
        ("GET", "/timeline?kind=shed", 200, lines, ""),
        ("GET", "/timeline?limit=x", 400, plain, "limit"),
        ("GET", "/timeline?since=x", 400, plain, "since"),
        ("GET", "/timeline?request=x", 400, plain, "request"),
        ("GET", "/timeline?kind=x", 400, plain, "kind"),
        (
            "GET",
            "/timeline?node=x",
            400,
            plain,
            "unknown parameter `node`",
        ),
        (
            "GET",
            "/health",
            200,
            json,
            "{\"ready\":true,\"phase\":\"serving\"}",
        ),
        ("POST", "/status", 405, html, ""),
        ("GET", "/drain", 405, html, ""),
        ("GET", "/nothing", 404, html, ""),
        ("GET", "/health", 200, json, "\"ready\":true"),
        (
            "POST",
            "/drain",
            202,
            json,
            "{\"begun\":true,\"in_flight\":2}",
        ),
        (
            "POST",
            "/drain",
            202,
            json,
            "{\"begun\":false,\"in_flight\":2}",
        ),
        (
            "GET",
            "/health",
            503,
            json,
            "{\"ready\":false,\"phase\":\"leaving\"}",
        ),
    ];
    let addr = start_stub(StubNode::new("bidding-1", &[(1, 1)])).await;
    for (method, path, status, kind, part) in cases {
        let answer = request(addr, method, path).await;
        let shown = format!("{method} {path}: {}", body_text(&answer));
        assert_eq!(answer.status().as_u16(), status, "{shown}");
        assert_eq!(answer.headers()["content-type"], kind, "{shown}");
        assert!(body_text(&answer).contains(part), "{shown}");
    }
}

#[tokio::test]
async fn timeline_is_filtered_and_reports_dropped_records() {
    let addr = start_stub(StubNode::new("a", &[(1, 7), (2, 8), (3, 7), (4, 8)])).await;
    let one = RequestId(7);
    let cases = [
        (String::from("/timeline"), vec![2, 3, 4]),
        (String::from("/timeline?limit=1"), vec![4]),
        (String::from("/timeline?since=2.0"), vec![3, 4]),
        (String::from("/timeline?since=2.0&limit=1"), vec![3]),
        (format!("/timeline?request={one}"), vec![3]),
    ];
    for (path, expected) in cases {
        let answer = request(addr, "GET", &path).await;
        let records = body_text(&answer)
            .lines()
            .map(serde_json::from_str::<Record>);
        let walls: Vec<_> = records.map(|record| record.unwrap().at.wall_ms).collect();
        assert_eq!(walls, expected, "{path}");
        assert_eq!(
            answer.headers()["coltsfootport-timeline-dropped"],
            "1",
            "{path}"
        );
    }
}

// Guards against `status` hanging and the node's memory growing with each query. This happens if the task that owns the
// state is stuck or gone and queries have no limit on their number and duration.
#[tokio::test]
async fn unresponsive_node_tasks_are_answered_with_503() {
    let (gone, gone_addr) = bind_listener().await;
    let (tx, rx) = mpsc::channel(QUERY_QUEUE_CAPACITY);
    drop(rx);
    tokio::spawn(serve(gone, tx, Metrics::new().unwrap()));
    let (full, full_addr) = bind_listener().await;
    let (tx, _kept) = mpsc::channel(1);
    let (reply, _) = tokio::sync::oneshot::channel();
    tx.try_send(OperatorQuery::Health(reply)).unwrap();
    tokio::spawn(serve(full, tx, Metrics::new().unwrap()));
    let (stuck, stuck_addr) = bind_listener().await;
    let (tx, _never_read) = mpsc::channel(QUERY_QUEUE_CAPACITY);
    tokio::spawn(serve(stuck, tx, Metrics::new().unwrap()));
    let paths = ["/status", "/timeline", "/nodes", "/health"];
    let cases = [
        ("gone", gone_addr, &paths[..]),
        ("full", full_addr, &paths),
        ("stuck", stuck_addr, &paths[..1]),
    ];
    for (name, addr, paths) in cases {
        for path in paths {
            assert_eq!(
                request(addr, "GET", path).await.status(),
                503,
                "{name} {path}"
            );
        }
        assert_eq!(
            request(addr, "GET", "/metrics").await.status(),
            200,
            "{name}"
        );
    }
}

#[tokio::test]
async fn metrics_include_every_invariant_from_the_start() {
    let (listener, addr) = bind_listener().await;
    let metrics = Metrics::new().unwrap();
    serve_stub(listener, StubNode::new("a", &[]), metrics.clone());
    for breaches in [0, 1] {
        let answer = request(addr, "GET", "/metrics").await;
        for invariant in Invariant::ALL {
            let label = invariant.as_str();
            let line = format!(
                "coltsfootport_invariant_breaches_total{{invariant=\"{label}\"}} {breaches}\n"
            );
            assert!(body_text(&answer).contains(&line), "{line}");
            metrics.faults.record_breach(invariant);
        }
    }
}

#[tokio::test]
async fn timeline_merges_all_nodes_and_filters_by_request() {
    let second = start_stub(StubNode::new("b", &[(2, 7), (4, 8)])).await;
    let (listener, first) = bind_listener().await;
    let mut state = StubNode::new("a", &[(1, 7), (3, 8), (4, 7)]);
    state.nodes = vec![first, second];
    serve_stub(listener, state, Metrics::new().unwrap());
    let one = RequestId(7);
    let (both, all) = (
        format!("{first} --operators {second}"),
        vec!["a 1", "b 2", "a 3", "a 4", "b 4"],
    );
    let cases = [
        (format!("{second}"), vec!["b 2", "b 4"]),
        (both, all.clone()),
        (format!("{first} --all"), all),
        (
            format!("{first} --all --request {one}"),
            vec!["a 1", "b 2", "a 4"],
        ),
        (format!("{first} --all --limit 1"), vec!["a 4", "b 4"]),
        (format!("{first} --kind shed"), vec![]),
    ];
    for (options, expected) in cases {
        let output = run_command(format!("timeline --json --operators {options}")).await;
        let lines = String::from_utf8(output.stdout).unwrap();
        let records = lines
            .lines()
            .map(|line| serde_json::from_str::<Record>(line).unwrap());
        let seen: Vec<_> = records
            .map(|record| format!("{} {}", record.node, record.at.wall_ms))
            .collect();
        assert_eq!(seen, expected, "{options}");
        assert_eq!(output.status.code(), Some(0), "{options}");
    }
}

// Guards against `timeline --follow` skipping or repeating events. This happens if a node's ring buffer wraps around
// while it is followed and queries don't continue from the last record shown.
#[tokio::test]
async fn follow_shows_each_event_once() {
    let mut state = StubNode::new("a", &[(1, 7), (2, 7)]);
    state.upcoming = (3..=6)
        .map(|wall_ms| cancelled_record(wall_ms, "a", 7))
        .collect();
    let addr = start_stub(state).await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_coltsfootport"));
    command.args([
        "timeline",
        "--follow",
        "--json",
        "--operators",
        &addr.to_string(),
    ]);
    let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let read = tokio::task::spawn_blocking(move || {
        lines.take(6).map(|line| line.unwrap()).collect::<Vec<_>>()
    });
    let lines = tokio::time::timeout(LIMIT, read).await;
    child.kill().unwrap();
    child.wait().unwrap();
    let lines = lines.unwrap().unwrap();
    let records = lines
        .iter()
        .map(|line| serde_json::from_str::<Record>(line).unwrap());
    let walls: Vec<_> = records.map(|record| record.at.wall_ms).collect();
    assert_eq!(walls, [1, 2, 3, 4, 5, 6]);
}

// Guards against a fleet that looks healthy while one node is unreachable. This happens if `status` and `timeline`
// query several nodes and silently skip one that refuses connections.
#[tokio::test]
async fn reachable_nodes_are_shown_and_unreachable_ones_reported() {
    let (closed, refused) = bind_listener().await;
    drop(closed);
    let (listener, addr) = bind_listener().await;
    let mut state = StubNode::new("a", &[(1, 7)]);
    state.nodes = vec![addr, refused];
    serve_stub(listener, state, Metrics::new().unwrap());
    for line in [
        format!("status --operators {addr} --all"),
        format!("timeline --operators {addr} --operators {refused}"),
    ] {
        let output = run_command(line.clone()).await;
        assert_eq!(output.status.code(), Some(4), "{line}");
        assert!(!output.stdout.is_empty(), "{line}");
        let faults = String::from_utf8(output.stderr).unwrap();
        assert!(faults.contains(&refused.to_string()), "{line}: {faults}");
    }
}

#[tokio::test]
async fn status_shows_rows_and_problems_without_control_characters() {
    let addr = start_stub(StubNode::new("bidding-1", &[])).await;
    let table = run_command(format!("status --operators {addr}")).await;
    let table = String::from_utf8(table.stdout).unwrap();
    let expected = [
        "NODE       SERVICE  DOMAIN  PHASE    DOCS  PLATFORM   PEERS  MODE    LIMIT  RUNNING  QUEUED",
        "bidding-1  bidding  -       serving  0/1   lost-4s@9  0/1    learnt  60     5        2",
        "bidding-1: document of bidding: revision 9 rejected, 8 in force: line 3: unknown class\\u{1b}",
        "bidding-1: peer archive-1 of archive is ejected because of its failures",
        "bidding-1: invariant allowance-grew breached 1 times",
    ];
    for part in expected {
        assert!(table.contains(part), "{part}\n{table}");
    }
    assert!(!table.contains('\u{1b}'));
    let json = run_command(format!("status --json --operators {addr}")).await;
    let report: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(report["documents"][0]["in_force"], 8);
}
