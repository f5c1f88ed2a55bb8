//! The fault proxy: TCP and UDP links with every fault, and its control interface.

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

use crate::common::{PATIENCE, SHORT, counts, counts_until, keyed, target, until};

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
    Proxy::start(plan).await.expect("a proxy")
}

/// Symptom: a call breaks, hangs, or runs without its answer coming back.
/// Sequence: a fault begins on the link to a target, a call is sent, the fault ends, another call is sent.
/// Cause: the link closes, cuts short or holds back what passes in one direction or both.
#[tokio::test]
async fn tcp_faults_break_or_hold_calls() {
    #[derive(Debug, PartialEq)]
    enum Seen {
        Whole,
        Broken,
        Silence,
    }
    struct Case {
        faults: LinkFaults,
        seen: Seen,
        /// Whether the call ran at the target in spite of the fault.
        ran: bool,
    }
    let one = |forward, backward| LinkFaults {
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
            seen: Seen::Whole,
            ran: true,
        },
        Case {
            faults: one(CLEAN, short(2_000)),
            seen: Seen::Broken,
            ran: true,
        },
        Case {
            faults: one(short(20), CLEAN),
            seen: Seen::Broken,
            ran: false,
        },
        Case {
            faults: one(CLEAN, cut(Cut::Close)),
            seen: Seen::Broken,
            ran: false,
        },
        Case {
            faults: one(cut(Cut::Blackhole), CLEAN),
            seen: Seen::Silence,
            ran: false,
        },
        Case {
            faults: one(CLEAN, cut(Cut::Blackhole)),
            seen: Seen::Silence,
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
        let addr = proxy.addr("link").expect("the link");
        assert_eq!(proxy.set("link", &case.faults), 1);
        let limit = if case.seen == Seen::Silence {
            SHORT
        } else {
            PATIENCE
        };
        let seen = match client.send(keyed(addr, "/x", "faulty", limit)).await {
            Ok(_) => Seen::Whole,
            Err(RigError::Timeout) => Seen::Silence,
            Err(_) => Seen::Broken,
        };
        assert_eq!(seen, case.seen, "case {number}");
        let runs = counts(&client, &target).await.started;
        assert_eq!(runs, u64::from(case.ran), "case {number}");

        assert_eq!(proxy.set("li*", &LinkFaults::default()), 1);
        let healed = client
            .send(keyed(addr, "/x", "healed", PATIENCE))
            .await
            .expect("an answer");
        let echo: Echo = serde_json::from_slice(&healed.body).expect("an echo");
        assert!(echo.belongs_to("healed"), "case {number}");
    }
}

/// Symptom: a call runs long after it was sent, or its answer comes long after it ran.
/// Sequence: a connection is open, one direction goes silent, a call is sent, the direction heals.
/// Cause: a one-way partition under which the system keeps bytes and sends them when it ends.
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
        let addr = proxy.addr("link").expect("the link");
        let first = client.send(keyed(addr, "/x", "first", PATIENCE)).await;
        assert!(first.is_ok(), "a pooled connection is open: {first:?}");
        proxy.set("link", &case.faults);
        let call = keyed(addr, "/x", "held", PATIENCE);
        let held = tokio::spawn({
            let client = client.clone();
            async move { client.send(call).await }
        });
        if case.runs_meanwhile > 0 {
            counts_until(&client, &target, |counts| counts.keys.contains_key("held")).await;
        }
        tokio::time::sleep(SHORT).await;
        assert!(!held.is_finished());
        let runs = counts(&client, &target)
            .await
            .keys
            .get("held")
            .copied()
            .unwrap_or_default();
        assert_eq!(runs.started, case.runs_meanwhile);
        proxy.set("link", &LinkFaults::default());
        let answer = held.await.expect("a task").expect("the late answer");
        let echo: Echo = serde_json::from_slice(&answer.body).expect("an echo");
        assert!(echo.belongs_to("held"));
    }
}

/// Symptom: datagrams are missing, twice there, or out of order.
/// Sequence: datagrams 0 to 19 are sent a link's way, each is answered, the answers are counted.
/// Cause: loss, duplicates, reordering or a cut, in either direction.
#[tokio::test]
async fn udp_faults_lose_double_and_reorder_datagrams() {
    const SENT: usize = 20;
    struct Case {
        faults: LinkFaults,
        /// Datagrams that reach the far end, and answers that come back.
        far: usize,
        back: usize,
        in_order: bool,
    }
    let one = |forward, backward| LinkFaults {
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
            faults: one(slow, slow),
            far: 20,
            back: 20,
            in_order: true,
        },
        Case {
            faults: one(lose, CLEAN),
            far: 0,
            back: 0,
            in_order: true,
        },
        Case {
            faults: one(CLEAN, lose),
            far: 20,
            back: 0,
            in_order: true,
        },
        Case {
            faults: one(twice, CLEAN),
            far: 40,
            back: 40,
            in_order: true,
        },
        Case {
            faults: one(twice, twice),
            far: 40,
            back: 80,
            in_order: true,
        },
        Case {
            faults: one(cut, CLEAN),
            far: 0,
            back: 0,
            in_order: true,
        },
        Case {
            faults: one(CLEAN, closed),
            far: 20,
            back: 0,
            in_order: true,
        },
        Case {
            faults: one(mixed, CLEAN),
            far: 20,
            back: 20,
            in_order: false,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let far = UdpSocket::bind(loopback(0)).await.expect("a socket");
        let proxy = proxy(Protocol::Udp, far.local_addr().expect("its address")).await;
        proxy.set("link", &case.faults);
        let near = UdpSocket::bind(loopback(0)).await.expect("a socket");
        near.connect(proxy.addr("link").expect("the link"))
            .await
            .expect("a peer");
        for n in 0..SENT {
            near.send(&[n as u8]).await.expect("a datagram");
        }
        let mut buf = [0; 16];
        let mut seen = Vec::new();
        while seen.len() < case.far {
            let received = timeout(PATIENCE, far.recv_from(&mut buf)).await;
            let (len, sender) = received.expect("in time").expect("a datagram");
            far.send_to(&buf[..len], sender).await.expect("an answer");
            seen.push(buf[0]);
        }
        assert_eq!(seen.is_sorted(), case.in_order, "case {number}: {seen:?}");
        for _ in 0..case.back {
            let answer = timeout(PATIENCE, near.recv(&mut buf)).await;
            answer.expect("in time").expect("an answer");
        }
        let none = timeout(Duration::from_millis(30), near.recv(&mut buf)).await;
        assert!(none.is_err(), "case {number}: one answer too many");
        let counts = proxy.states()[0].counts;
        assert_eq!(counts.connections, 1);
        let passed = (
            counts.forward.passed as usize,
            counts.backward.passed as usize,
        );
        assert_eq!(passed, (case.far, case.back), "case {number}");
    }
}

/// Symptom: a node is heard by some of its peers and not by others.
/// Sequence: two senders use a link, one of them is cut off in one direction, both send.
/// Cause: a network partition that runs between the two senders.
#[tokio::test]
async fn one_sender_of_a_udp_link_is_cut_off() {
    let far = UdpSocket::bind(loopback(0)).await.expect("a socket");
    let proxy = proxy(Protocol::Udp, far.local_addr().expect("its address")).await;
    let link = proxy.addr("link").expect("the link");
    let mut near = Vec::new();
    for _ in 0..2 {
        let socket = UdpSocket::bind(loopback(0)).await.expect("a socket");
        socket.connect(link).await.expect("a peer");
        near.push(socket);
    }
    let sender = near[0].local_addr().expect("its address");
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
    near[0].send(b"cut").await.expect("a datagram");
    until(async || (proxy.states()[0].counts.forward.lost == 1).then_some(())).await;
    near[1].send(b"open").await.expect("a datagram");
    let mut buf = [0; 16];
    let received = timeout(PATIENCE, far.recv_from(&mut buf)).await;
    let (len, _) = received.expect("in time").expect("a datagram");
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
            "nothing is due before its latency"
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
        "each datagram is either lost or passed on"
    );
    assert!(passed.len() > unique.len() && !passed.is_sorted());
}

#[tokio::test]
async fn links_are_controlled_by_http() {
    let target = target(Settings::default(), None).await;
    let proxy = proxy(Protocol::Tcp, target.addr()).await;
    let control = proxy.control_addr().expect("a control address");
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
    let states: Vec<LinkState> = client.get(control, "/links").await.expect("the links");
    let faults = LinkFaults {
        forward: DirectionFaults::cut(Cut::Blackhole),
        backward: DirectionFaults::latency(Duration::from_millis(3)),
        senders: Vec::new(),
    };
    assert_eq!((states.len(), &states[0].faults), (1, &faults));
    assert_eq!(proxy.states(), states);
}
