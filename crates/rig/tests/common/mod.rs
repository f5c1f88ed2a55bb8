//! Helpers shared by the integration tests of the rig.

#![allow(dead_code, reason = "each test binary uses a subset of these")]

pub mod bids;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_rig::http::{Client, ClientAnswer, ClientCall, bind};
use coltsfootport_rig::process::loopback;
use coltsfootport_rig::target::{Placement, Settings, Target, TargetCounts};
use http::{HeaderMap, HeaderValue, Method};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Timeout for an event that is expected to occur.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// How long to wait for an event that must not occur.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Binds a listener to a free loopback port.
pub async fn listener() -> TcpListener {
    bind(loopback(0)).await.expect("a loopback port")
}

/// Starts a simulated target of the service `svc`.
pub async fn target(settings: Settings, egress: Option<SocketAddr>) -> Target {
    let placement = Placement {
        service: "svc".into(),
        egress,
    };
    Target::start(listener().await, placement, settings).expect("a target")
}

/// Reads the call counts of the target.
pub async fn counts(client: &Client, target: &Target) -> TargetCounts {
    client.get(target.addr(), "/counts").await.expect("counts")
}

/// Polls the counts of the target until `predicate` accepts them.
pub async fn counts_until<P>(client: &Client, target: &Target, predicate: P) -> TargetCounts
where
    P: Fn(&TargetCounts) -> bool,
{
    let probe = async || Some(counts(client, target).await).filter(&predicate);
    poll_until(probe).await
}

/// Calls `probe` every 5 ms until it returns a value; panics after [`EVENT_TIMEOUT`].
pub async fn poll_until<T, P>(probe: P) -> T
where
    P: AsyncFn() -> Option<T>,
{
    let polling = async {
        loop {
            if let Some(value) = probe().await {
                return value;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(EVENT_TIMEOUT, polling)
        .await
        .expect("a value within the event timeout")
}

/// Builds a `GET` with `key` in the `x-rig-key` header.
pub fn get_with_key(
    addr: SocketAddr,
    path: &str,
    key: &str,
    client_timeout: Duration,
) -> ClientCall {
    let mut headers = HeaderMap::new();
    headers.insert(
        "x-rig-key",
        HeaderValue::from_str(key).expect("a key that is a valid header value"),
    );
    ClientCall {
        headers,
        timeout: client_timeout,
        ..ClientCall::new(addr, Method::GET, path)
    }
}

/// Returns the body of an answer as text; invalid UTF-8 is replaced.
pub fn body_text(answer: &ClientAnswer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// Sums the integer values of the lines in a node's `/metrics` that contain `name`; 0 if there are none.
pub async fn metric(client: &Client, operators: SocketAddr, name: &str) -> u64 {
    let call = ClientCall::new(operators, Method::GET, "/metrics");
    let page = body_text(&client.send(call).await.expect("metrics"));
    let lines = page.lines().filter(|line| line.contains(name));
    let numbers = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    numbers.sum()
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(pid: i32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    number.expect("a number of KiB") * 1024
}
