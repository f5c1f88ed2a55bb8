//! Tests of the fault-injecting proxy: TCP and UDP links with each fault, and the HTTP control interface.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_rig::error::RigError;
use coltsfootport_rig::http::Client;
use coltsfootport_rig::process::loopback;
use coltsfootport_rig::proxy::{
    Cut, DirectionFaults, LinkFaults, LinkPlan, LinkState, Plan, Protocol, Proxy, Schedule,
    SenderFaults,
};
use coltsfootport_rig::target::{Echo, Settings};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::common::{
    ABSENCE_TIMEOUT, EVENT_TIMEOUT, counts, counts_until, get_with_key, poll_until, target,
};

const CLEAN: DirectionFaults = DirectionFaults {
    latency_ms: 0.0,
    jitter_ms: 0.0,
    cut: Cut::None,
    truncate_bytes: None,
    loss: 0.0,
    duplicate: 0.0,
    reorder: 0.0,
    reorder_ms: 0.0,
};

async fn proxy(protocol: Protocol, to: std::net::SocketAddr) -> Proxy {
    let plan = Plan {
        control: Some(loopback(0)),
        links: vec![LinkPlan::new("link", protocol, to)],
    };
    Proxy::start(plan).await.expect("start proxy")
}

/// A call fails, hangs, or runs without its response arriving when the link to its target closes, truncates or holds
/// back traffic in one or both directions. A call sent after the fault has ended succeeds.
#[tokio::test]
async fn tcp_faults_break_or_hold_calls() {
    #[derive(Debug, PartialEq)]
    enum CallResult {
        Complete,
        Failed,
        Timeout,
    }
    struct Case {
        faults: LinkFaults,
        expected: CallResult,
        /// Whether the call ran at the target despite the fault.
        ran: bool,
    }
    let asymmetric = |forward, backward| LinkFaults {
        forward,
        backward,
        ..LinkFaults::default()
    };
    let cut = DirectionFaults::cut;
    let slow = DirectionFaults {
        latency_ms: 5.0,
        jitter_ms: 3.0,
        ..CLEAN
    };
    let short = |n| DirectionFaults {
        truncate_bytes: Some(n),
        ..CLEAN
    };
    let cases = [
        Case {
            faults: LinkFaults::both(slow),
            expected: CallResult::Complete,
            ran: true,
        },
        Case {
            faults: asymmetric(CLEAN, short(2_000)),
            expected: CallResult::Failed,
            ran: true,
        },
        Case {
            faults: asymmetric(short(20), CLEAN),
            expected: CallResult::Failed,
            ran: false,
        },
        Case {
            faults: asymmetric(CLEAN, cut(Cut::Close)),
            expected: CallResult::Failed,
            ran: false,
        },
        Case {
            faults: asymmetric(cut(Cut::Blackhole), CLEAN),
            expected: CallResult::Timeout,
            ran: false,
        },
        Case {
            faults: asymmetric(CLEAN, cut(Cut::Blackhole)),
            expected: CallResult::Timeout,
            ran: false,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let client = Client::default();
        let settings = Settings {
            service_ms: 1.0,
            answer_bytes: 100_000,
            ..Settings::default()
        };
        let target = target(settings, None).await;
        let proxy = proxy(Protocol::Tcp, target.addr()).await;
        let addr = proxy.addr("link").expect("link address");
        assert_eq!(proxy.set("link", &case.faults), 1);
        let limit = if case.expected == CallResult::Timeout {
            ABSENCE_TIMEOUT
        } else {
            EVENT_TIMEOUT
        };
        let seen = match client.send(get_with_key(addr, "/x", "faulty", limit)).await {
            Ok(_) => CallResult::Complete,
            Err(RigError::Timeout) => CallResult::Timeout,
            Err(_) => CallResult::Failed,
        };
        assert_eq!(seen, case.expected, "case {number}");
        let runs = counts(&client, &target).await.started;
        assert_eq!(runs, u64::from(case.ran), "case {number}");

        assert_eq!(proxy.set("li*", &LinkFaults::default()), 1);
        let healed = client
            .send(get_with_key(addr, "/x", "healed", EVENT_TIMEOUT))
            .await
            .expect("response");
        let echo: Echo = serde_json::from_slice(&healed.body).expect("parse echo");
        assert!(echo.belongs_to("healed"), "case {number}");
    }
}

/// A one-way partition on an open connection delays traffic instead of losing it: a call sent meanwhile runs late, or
/// its response arrives late, because the held bytes are delivered when the partition ends.
#[tokio::test]
async fn bytes_held_by_a_blackhole_arrive_when_it_ends() {
    struct Case {
        faults: LinkFaults,
        runs_meanwhile: u64,
    }
    let cut = DirectionFaults::cut(Cut::Blackhole);
    let cases = [
        Case {
            faults: LinkFaults {
                forward: cut,
                ..LinkFaults::default()
            },
            runs_meanwhile: 0,
        },
        Case {
            faults: LinkFaults {
                backward: cut,
                ..LinkFaults::default()
            },
            runs_meanwhile: 1,
        },
    ];
    for case in cases {
        let client = Client::default();
        let target = target(Settings::default(), None).await;
        let proxy = proxy(Protocol::Tcp, target.addr()).await;
        let addr = proxy.addr("link").expect("link address");
        let first = client
            .send(get_with_key(addr, "/x", "first", EVENT_TIMEOUT))
            .await;
        assert!(
            first.is_ok(),
            "failed to open a pooled connection: {first:?}"
        );
        proxy.set("link", &case.faults);
        let call = get_with_key(addr, "/x", "held", EVENT_TIMEOUT);
        let held = tokio::spawn({
            let client = client.clone();
            async move { client.send(call).await }
        });
        if case.runs_meanwhile > 0 {
            counts_until(&client, &target, |counts| counts.keys.contains_key("held")).await;
        }
        tokio::time::sleep(ABSENCE_TIMEOUT).await;
        assert!(!held.is_finished());
        let runs = counts(&client, &target)
            .await
            .keys
            .get("held")
            .copied()
            .unwrap_or_default();
        assert_eq!(runs.started, case.runs_meanwhile);
        proxy.set("link", &LinkFaults::default());
        let answer = held.await.expect("join task").expect("delayed response");
        let echo: Echo = serde_json::from_slice(&answer.body).expect("parse echo");
        assert!(echo.belongs_to("held"));
    }
}

/// Datagrams are lost, duplicated or reordered as configured for either direction of a link. Sends datagrams 0 to 19,
/// answers each one that arrives and counts the responses.
#[tokio::test]
async fn udp_faults_lose_double_and_reorder_datagrams() {
    const SENT: usize = 20;
    struct Case {
        faults: LinkFaults,
        /// Datagrams that reach the upstream socket.
        delivered: usize,
        /// Responses that reach the sender.
        responses: usize,
        in_order: bool,
    }
    let asymmetric = |forward, backward| LinkFaults {
        forward,
        backward,
        ..LinkFaults::default()
    };
    let lose = DirectionFaults { loss: 1.0, ..CLEAN };
    let twice = DirectionFaults {
        duplicate: 1.0,
        ..CLEAN
    };
    let slow = DirectionFaults {
        latency_ms: 3.0,
        jitter_ms: 5.0,
        ..CLEAN
    };
    let mixed = DirectionFaults {
        reorder: 0.3,
        reorder_ms: 60.0,
        ..CLEAN
    };
    let cut = DirectionFaults::cut(Cut::Blackhole);
    let closed = DirectionFaults::cut(Cut::Close);
    let cases = [
        Case {
            faults: asymmetric(slow, slow),
            delivered: 20,
            responses: 20,
            in_order: true,
        },
        Case {
            faults: asymmetric(lose, CLEAN),
            delivered: 0,
            responses: 0,
            in_order: true,
        },
        Case {
            faults: asymmetric(CLEAN, lose),
            delivered: 20,
            responses: 0,
            in_order: true,
        },
        Case {
            faults: asymmetric(twice, CLEAN),
            delivered: 40,
            responses: 40,
            in_order: true,
        },
        Case {
            faults: asymmetric(twice, twice),
            delivered: 40,
            responses: 80,
            in_order: true,
        },
        Case {
            faults: asymmetric(cut, CLEAN),
            delivered: 0,
            responses: 0,
            in_order: true,
        },
        Case {
            faults: asymmetric(CLEAN, closed),
            delivered: 20,
            responses: 0,
            in_order: true,
        },
        Case {
            faults: asymmetric(mixed, CLEAN),
            delivered: 20,
            responses: 20,
            in_order: false,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let upstream = UdpSocket::bind(loopback(0)).await.expect("bind socket");
        let proxy = proxy(Protocol::Udp, upstream.local_addr().expect("local address")).await;
        proxy.set("link", &case.faults);
        let sender_socket = UdpSocket::bind(loopback(0)).await.expect("bind socket");
        sender_socket
            .connect(proxy.addr("link").expect("link address"))
            .await
            .expect("connect socket");
        for n in 0..SENT {
            sender_socket.send(&[n as u8]).await.expect("datagram");
        }
        let mut buf = [0; 16];
        let mut seen = Vec::new();
        while seen.len() < case.delivered {
            let received = timeout(EVENT_TIMEOUT, upstream.recv_from(&mut buf)).await;
            let (len, sender) = received.expect("timed out").expect("datagram");
            upstream
                .send_to(&buf[..len], sender)
                .await
                .expect("response");
            seen.push(buf[0]);
        }
        assert_eq!(seen.is_sorted(), case.in_order, "case {number}: {seen:?}");
        for _ in 0..case.responses {
            let answer = timeout(EVENT_TIMEOUT, sender_socket.recv(&mut buf)).await;
            answer.expect("timed out").expect("response");
        }
        let none = timeout(Duration::from_millis(30), sender_socket.recv(&mut buf)).await;
        assert!(
            none.is_err(),
            "case {number}: unexpected additional response"
        );
        let counts = proxy.states()[0].counts;
        assert_eq!(counts.connections, 1);
        let passed = (
            counts.forward.passed as usize,
            counts.backward.passed as usize,
        );
        assert_eq!(passed, (case.delivered, case.responses), "case {number}");
    }
}

/// Models a partition in which a node is reachable by only some of its peers: two senders use one link, and one of them
/// is cut off in one direction. Only the datagram of the other may arrive.
#[tokio::test]
async fn one_sender_of_a_udp_link_is_cut_off() {
    let upstream = UdpSocket::bind(loopback(0)).await.expect("bind socket");
    let proxy = proxy(Protocol::Udp, upstream.local_addr().expect("local address")).await;
    let link = proxy.addr("link").expect("link address");
    let mut senders = Vec::new();
    for _ in 0..2 {
        let socket = UdpSocket::bind(loopback(0)).await.expect("bind socket");
        socket.connect(link).await.expect("connect socket");
        senders.push(socket);
    }
    let sender = senders[0].local_addr().expect("local address");
    let cut = DirectionFaults::cut(Cut::Blackhole);
    let faults = SenderFaults {
        sender,
        forward: cut,
        backward: CLEAN,
    };
    proxy.set(
        "link",
        &LinkFaults {
            senders: vec![faults],
            ..LinkFaults::default()
        },
    );
    senders[0].send(b"cut").await.expect("datagram");
    poll_until(async || (proxy.states()[0].counts.forward.lost == 1).then_some(())).await;
    senders[1].send(b"open").await.expect("datagram");
    let mut buf = [0; 16];
    let received = timeout(EVENT_TIMEOUT, upstream.recv_from(&mut buf)).await;
    let (len, _) = received.expect("timed out").expect("datagram");
    assert_eq!(&buf[..len], b"open");
    assert_eq!(proxy.states()[0].counts.connections, 2);
}

#[test]
fn a_schedule_repeats_itself_for_a_seed() {
    let faults = DirectionFaults {
        latency_ms: 5.0,
        jitter_ms: 2.0,
        loss: 0.2,
        duplicate: 0.2,
        reorder: 0.2,
        reorder_ms: 10.0,
        ..CLEAN
    };
    let start = Instant::now();
    let run = |seed| {
        let mut schedule = Schedule::new(seed);
        let mut lost = 0;
        for n in 0..200_u8 {
            let now = start + Duration::from_millis(u64::from(n));
            lost += usize::from(!schedule.push(Bytes::copy_from_slice(&[n]), now, &faults));
        }
        assert_eq!(
            schedule.pop(start),
            None,
            "datagram due before its latency elapsed"
        );
        let end = start + Duration::from_secs(10);
        let passed: Vec<_> = std::iter::from_fn(|| schedule.pop(end))
            .map(|d| d[0])
            .collect();
        assert_eq!(schedule.next_due(), None);
        (lost, passed)
    };
    let (lost, passed) = run(7);
    assert_eq!(run(7), (lost, passed.clone()));
    assert_ne!(run(8).1, passed);
    let mut unique = passed.clone();
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(
        unique.len() + lost,
        200,
        "each datagram must be either lost or forwarded"
    );
    assert!(passed.len() > unique.len() && !passed.is_sorted());
}

#[tokio::test]
async fn links_are_controlled_by_http() {
    let target = target(Settings::default(), None).await;
    let proxy = proxy(Protocol::Tcp, target.addr()).await;
    let control = proxy.control_addr().expect("control address");
    let client = Client::default();
    let cases = [
        ("/links/link", r#"{"forward": {"cut": "blackhole"}}"#, 200),
        ("/links/l*", r#"{"backward": {"latency_ms": 3}}"#, 200),
        ("/links/other", "{}", 404),
        ("/links/link", r#"{"forward": {"loss": 2}}"#, 400),
        ("/links/link", r#"{"sideways": {}}"#, 400),
        (
            "/links/link",
            r#"{"senders": [{"sender": "127.0.0.1:1", "forward": {"loss": 2}}]}"#,
            400,
        ),
        ("/links/link", r#"{"forward": {"latency_ms": -1}}"#, 400),
    ];
    for (path, body, status) in cases {
        let result = client.put(control, path, body).await;
        let got = match &result {
            Ok(answer) => answer.status.as_u16(),
            Err(RigError::Status { status, .. }) => *status,
            Err(e) => panic!("{path}: {e}"),
        };
        assert_eq!(got, status, "{path} {body}");
    }
    let states: Vec<LinkState> = client.get(control, "/links").await.expect("list links");
    let faults = LinkFaults {
        forward: DirectionFaults::cut(Cut::Blackhole),
        backward: DirectionFaults::latency(Duration::from_millis(3)),
        senders: Vec::new(),
    };
    assert_eq!((states.len(), &states[0].faults), (1, &faults));
    assert_eq!(proxy.states(), states);
}
