//! Helpers of the rig's tests.

#![allow(dead_code, reason = "each test program uses some of these")]

pub mod bids;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_rig::http::{Client, ClientAnswer, ClientCall, bind};
use coltsfootport_rig::process::loopback;
use coltsfootport_rig::target::{Placement, Settings, Target, TargetCounts};
use http::{HeaderMap, HeaderValue, Method};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Longest wait for something that is sure to come.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A time limit for something that must not come.
pub const SHORT: Duration = Duration::from_millis(150);

/// A listener on a free loopback port.
pub async fn listener() -> TcpListener {
    bind(loopback(0)).await.expect("a loopback port")
}

/// A stand-in target of the service `svc`.
pub async fn target(settings: Settings, egress: Option<SocketAddr>) -> Target {
    let placement = Placement {
        service: "svc".into(),
        egress,
    };
    Target::start(listener().await, placement, settings).expect("a target")
}

/// The target's counts.
pub async fn counts(client: &Client, target: &Target) -> TargetCounts {
    client.get(target.addr(), "/counts").await.expect("counts")
}

/// Looks at the target's counts until they are as wanted.
pub async fn counts_until<W>(client: &Client, target: &Target, wanted: W) -> TargetCounts
where
    W: Fn(&TargetCounts) -> bool,
{
    let look = async || Some(counts(client, target).await).filter(&wanted);
    until(look).await
}

/// Looks again and again until there is something to see.
pub async fn until<T, L>(look: L) -> T
where
    L: AsyncFn() -> Option<T>,
{
    let looks = async {
        loop {
            if let Some(seen) = look().await {
                return seen;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, looks).await.expect("seen in time")
}

/// A `GET` with a key.
pub fn keyed(addr: SocketAddr, path: &str, key: &str, limit: Duration) -> ClientCall {
    let mut headers = HeaderMap::new();
    headers.insert(
        "x-rig-key",
        HeaderValue::from_str(key).expect("a plain key"),
    );
    ClientCall {
        headers,
        timeout: limit,
        ..ClientCall::new(addr, Method::GET, path)
    }
}

/// The body of an answer as text.
pub fn text(answer: &ClientAnswer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// A counter of a node, 0 where it is not shown.
pub async fn metric(client: &Client, operators: SocketAddr, name: &str) -> u64 {
    let call = ClientCall::new(operators, Method::GET, "/metrics");
    let page = text(&client.send(call).await.expect("metrics"));
    let lines = page.lines().filter(|line| line.contains(name));
    let numbers = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    numbers.sum()
}

/// Resident memory of a process in bytes.
pub fn resident(pid: i32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    number.expect("a number of KiB") * 1024
}
