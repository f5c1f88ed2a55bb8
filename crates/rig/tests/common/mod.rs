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
    let look = async {
        loop {
            let counts = counts(client, target).await;
            if wanted(&counts) {
                return counts;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, look)
        .await
        .expect("counts as wanted in time")
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
