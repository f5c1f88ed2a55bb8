//! Tests of child processes: start, pause, stop and kill.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootport_rig::error::RigError;
use coltsfootport_rig::http::Client;
use coltsfootport_rig::process::{
    Process, ProcessSpec, Signal, block_start, free_port, free_ports, loopback,
};
use coltsfootport_rig::target::TargetCounts;
use tokio::net::TcpStream;

use crate::common::{ABSENCE_TIMEOUT, EVENT_TIMEOUT, body_text, get_with_key};

const RIG: &str = env!("CARGO_BIN_EXE_coltsfootport-rig");

fn spec(line: &str) -> ProcessSpec {
    ProcessSpec::new("rig", RIG, line.split_whitespace())
}

/// A paused child must answer nothing, and must handle the request that was sent meanwhile once it is resumed.
#[tokio::test]
async fn a_frozen_child_wakes_up_and_goes_on() {
    let client = Client::default();
    let [port] = free_ports().expect("a port");
    let addr = loopback(port);
    let line = format!("target --listen {addr} --service svc --slots 3 --service-ms 1");
    let mut child = Process::start(spec(&line)).expect("a child");
    child
        .wait_until_ready(&client, addr, "/health", EVENT_TIMEOUT)
        .await
        .expect("ready");

    child.signal(Signal::STOP).expect("a signal");
    let call = get_with_key(addr, "/x", "late", EVENT_TIMEOUT);
    let call = tokio::spawn({
        let client = client.clone();
        async move { client.send(call).await }
    });
    tokio::time::sleep(ABSENCE_TIMEOUT).await;
    assert!(!call.is_finished() && child.is_running().expect("its state"));
    child.signal(Signal::CONT).expect("a signal");
    let answer = call.await.expect("a task").expect("the late answer");
    assert!(body_text(&answer).contains("late"), "{answer:?}");
    let counts: TargetCounts = client.get(addr, "/counts").await.expect("counts");
    assert_eq!(counts.max_runs_per_key(), 1);

    let status = child.stop(EVENT_TIMEOUT).await.expect("an end");
    assert!(status.success(), "{status}");
    assert!(!child.is_running().expect("its state"));
}

#[tokio::test]
async fn children_that_do_not_become_ready_are_told_apart() {
    let client = Client::default();
    let [port] = free_ports().expect("a port");
    let (addr, limit) = (loopback(port), Duration::from_millis(50));
    let mut ends = Process::start(spec("target --listen nowhere")).expect("a child");
    let result = ends
        .wait_until_ready(&client, addr, "/health", EVENT_TIMEOUT)
        .await;
    assert!(matches!(result, Err(RigError::NotReady(_))), "{result:?}");

    let line = format!("platform --listen {addr}");
    let mut platform = Process::start(spec(&line)).expect("a child");
    platform
        .wait_until_listening(addr, EVENT_TIMEOUT)
        .await
        .expect("a listener");
    let result = platform
        .wait_until_ready(&client, addr, "/none", limit)
        .await;
    assert!(matches!(result, Err(RigError::NotReady(_))), "{result:?}");
    assert!(
        platform.wait(limit).await.is_err(),
        "it runs until it is told to stop"
    );
    drop(platform);
    assert!(
        TcpStream::connect(addr).await.is_err(),
        "the drop killed it"
    );
}

#[tokio::test]
async fn a_child_reads_its_input() {
    let spec = ProcessSpec {
        input: Some("text of its settings".into()),
        ..ProcessSpec::new("grep", "grep", ["-q", "settings"])
    };
    let mut child = Process::start(spec).expect("a child");
    assert!(child.wait(EVENT_TIMEOUT).await.expect("an end").success());
    let [a, b] = free_ports().expect("ports");
    assert_ne!(a, b);
}

/// Guards against a killed node that occasionally cannot bind its port at restart. Two test programs run in parallel; one
/// kills a node, and to the other, which searches for free ports, the port of that node looks free.
#[test]
fn a_port_stays_given_out_while_nobody_listens() {
    let [port] = free_ports().expect("a port");
    // Another program would first reserve the block that contains the port.
    let block = block_start(port);
    assert!(block < port && TcpListener::bind(loopback(block)).is_err());
}

/// Guards against allocating a port whose listener a child still holds between fork and exec. A caller that waits for a
/// listener at the port would connect to that child, and its next connection would be refused.
#[test]
fn nobody_listens_at_a_port_that_is_given_out() {
    const SPAWNERS: usize = 4;
    const PORTS: usize = 1500;
    let stop = AtomicBool::new(false);
    let mut held = 0;
    std::thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let mut child = Process::start(spec("--version")).expect("a child");
                    let _ = child.kill();
                }
            });
        }
        for _ in 0..PORTS {
            let [port] = free_ports().expect("a port");
            held += usize::from(std::net::TcpStream::connect(loopback(port)).is_ok());
        }
        stop.store(true, Ordering::SeqCst);
    });
    assert_eq!(held, 0, "of {PORTS} ports");
}

/// Guards against nodes that can't start because another process holds their port at another loopback address.
#[test]
fn a_port_that_is_in_use_at_any_loopback_address_is_not_allocated() {
    let next = free_port().expect("a port") + 1;
    let others: Vec<TcpListener> = (next..next + 20)
        .filter_map(|port| TcpListener::bind(SocketAddr::from(([127, 0, 0, 2], port))).ok())
        .collect();
    let taken: Vec<u16> = others
        .iter()
        .map(|other| other.local_addr().expect("its address").port())
        .collect();
    assert!(taken.len() > 10, "{taken:?}");
    for _ in 0..20 {
        let port = free_port().expect("a port");
        assert!(!taken.contains(&port), "{port}");
    }
}
