//! Real child processes: start, freeze, stop and kill.

mod common;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootport_rig::error::RigError;
use coltsfootport_rig::http::Client;
use coltsfootport_rig::process::{Process, ProcessSpec, Signal, block_of, free_ports, loopback};
use coltsfootport_rig::target::TargetCounts;
use tokio::net::TcpStream;

use crate::common::{ABSENCE_TIMEOUT, EVENT_TIMEOUT, body_text, get_with_key};

const RIG: &str = env!("CARGO_BIN_EXE_coltsfootport-rig");

fn spec(line: &str) -> ProcessSpec {
    ProcessSpec::new("rig", RIG, line.split_whitespace())
}

/// A process that is paused: it answered nothing, then acted on what it had been sent.
#[tokio::test]
async fn a_frozen_child_wakes_up_and_goes_on() {
    let client = Client::default();
    let [port] = free_ports().expect("a port");
    let addr = loopback(port);
    let line = format!("target --listen {addr} --service svc --slots 3 --service-ms 1");
    let mut child = Process::start(spec(&line)).expect("a child");
    child
        .ready(&client, addr, "/health", EVENT_TIMEOUT)
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
    let result = ends.ready(&client, addr, "/health", EVENT_TIMEOUT).await;
    assert!(matches!(result, Err(RigError::NotReady(_))), "{result:?}");

    let line = format!("platform --listen {addr}");
    let mut platform = Process::start(spec(&line)).expect("a child");
    platform
        .listening(addr, EVENT_TIMEOUT)
        .await
        .expect("a listener");
    let result = platform.ready(&client, addr, "/none", limit).await;
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

// Symptom: now and then a killed node can't bind its port when it is started again.
// Sequence: two test programs run side by side; one kills a node; the other looks for free ports.
// Cause: the killed node's port looks free to the other program.
#[test]
fn a_port_stays_given_out_while_nobody_listens() {
    let [port] = free_ports().expect("a port");
    // What another program does before it takes a port for its own: it claims the block that the port is in.
    let block = block_of(port);
    assert!(block < port && TcpListener::bind(loopback(block)).is_err());
}

/// A port that another child held for a moment after it was given out: whoever waited for a listener there met that child,
/// and the next connection was refused.
#[test]
fn nobody_listens_at_a_port_that_is_given_out() {
    const SPAWNERS: usize = 4;
    const PORTS: usize = 1500;
    let is_over = AtomicBool::new(false);
    let mut held = 0;
    std::thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    let mut child = Process::start(spec("--version")).expect("a child");
                    let _ = child.kill();
                }
            });
        }
        for _ in 0..PORTS {
            let [port] = free_ports().expect("a port");
            held += usize::from(std::net::TcpStream::connect(loopback(port)).is_ok());
        }
        is_over.store(true, Ordering::SeqCst);
    });
    assert_eq!(held, 0, "of {PORTS} ports");
}
