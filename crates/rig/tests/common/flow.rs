//! Sends calls through a fleet and classifies how each one ended.

#![allow(dead_code, reason = "each test binary uses a subset of these")]

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfootport_rig::error::RigError;
use coltsfootport_rig::fleet::Fleet;
use coltsfootport_rig::http::{Client, ClientAnswer, ClientCall};
use coltsfootport_rig::load::{Ending, ExpectedAnswer};
use coltsfootport_rig::target::Settings;
use http::Method;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Timeout for an event that is expected to occur.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Consecutive calls that must succeed before a fleet counts as settled.
const SETTLED_CALLS: usize = 30;

/// Maximum number of characters of an answer body in messages.
const MAX_SHOWN_CHARS: usize = 400;

/// A call that a client sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the node that the client calls.
    pub entry: SocketAddr,
    pub method: Method,
    /// `/{service}/{path}`.
    pub path: String,
    /// Value of the `x-rig-key` header.
    pub key: String,
    pub body: Bytes,
    /// Deadline sent to the node; the client itself waits [`EVENT_TIMEOUT`] longer.
    pub deadline: Duration,
}

/// The result of a call as its client saw it.
#[derive(Debug)]
pub struct CallResult {
    /// Value of the call's `x-rig-key` header.
    pub key: String,
    /// Address of the node that the client called.
    pub entry: SocketAddr,
    /// How the call ended, judged against the expected echo.
    pub ending: Ending,
    /// The answer, or the error if there is none.
    pub result: Result<ClientAnswer, RigError>,
}

impl Call {
    /// Builds a `GET` with a deadline of 5 s.
    pub fn get(entry: SocketAddr, path: &str, key: &str) -> Self {
        Self {
            entry,
            method: Method::GET,
            path: path.into(),
            key: key.into(),
            body: Bytes::new(),
            deadline: Duration::from_secs(5),
        }
    }

    /// Sends the call and classifies its answer.
    pub async fn send(self, client: &Client) -> CallResult {
        let mut call = ClientCall {
            body: self.body.clone(),
            timeout: self.deadline + EVENT_TIMEOUT,
            ..ClientCall::new(self.entry, self.method, self.path.as_str())
        };
        let headers = &mut call.headers;
        headers.insert(
            "x-rig-key",
            self.key
                .parse()
                .expect("a key that is a valid header value"),
        );
        let deadline_ms = self.deadline.as_millis() as u64;
        headers.insert("coltsfootport-deadline-ms", deadline_ms.into());
        let expected = ExpectedAnswer {
            key: self.key.clone(),
            path: self.path,
            body_crc32: crc32fast::hash(&self.body),
        };
        let result = client.send(call).await;
        CallResult {
            key: self.key,
            entry: self.entry,
            ending: Ending::of(&result, &expected),
            result,
        }
    }
}

impl CallResult {
    /// Whether the connection was refused, so that no established call was cut off.
    pub fn is_refused_connection(&self) -> bool {
        matches!(&self.result, Err(RigError::Connection(text)) if text.contains("(Connect)"))
    }

    /// Formats the ending with status, error kind and start of the body, for messages.
    pub fn describe(&self) -> String {
        let detail = match &self.result {
            Ok(answer) => {
                let error = answer.header("coltsfootport-error").unwrap_or_default();
                let body = String::from_utf8_lossy(&answer.body);
                let start: String = body.chars().take(MAX_SHOWN_CHARS).collect();
                format!("{} {error} {start}", answer.status)
            }
            Err(e) => e.to_string(),
        };
        format!("{}: {:?} {detail}", self.key, self.ending)
    }
}

/// Starts calls at a fixed interval until it is finished.
#[derive(Debug)]
pub struct CallStream {
    stop: watch::Sender<bool>,
    calls: JoinHandle<Vec<CallResult>>,
}

impl CallStream {
    /// Sends a `GET` of `path` to the entries in turn, one every `call_interval`; keys start with `name`.
    pub fn start(
        client: &Client,
        name: &str,
        path: &str,
        entries: &[SocketAddr],
        call_interval: Duration,
    ) -> Self {
        let (stop, stopped) = watch::channel(false);
        let (name, path, entries) = (name.to_owned(), path.to_owned(), entries.to_vec());
        let client = client.clone();
        let calls = tokio::spawn(async move {
            let mut calls = JoinSet::new();
            let mut ticks = interval(call_interval);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
            for (i, entry) in entries.iter().cycle().enumerate() {
                ticks.tick().await;
                if *stopped.borrow() {
                    break;
                }
                let call = Call::get(*entry, &path, &format!("{name}#{i}"));
                let client = client.clone();
                calls.spawn(async move { call.send(&client).await });
            }
            calls.join_all().await
        });
        Self { stop, calls }
    }

    /// Starts no further calls, waits for those in flight and returns all results.
    pub async fn finish(self) -> Vec<CallResult> {
        let _ = self.stop.send(true);
        self.calls.await.expect("the calls of a stream")
    }
}

/// Counts the calls by ending, for printing.
pub fn count_endings(results: &[CallResult]) -> BTreeMap<String, usize> {
    let mut counts_by_ending = BTreeMap::new();
    for result in results {
        let name = match result.is_refused_connection() {
            true => "RefusedConnection".to_owned(),
            false => format!("{:?}", result.ending),
        };
        *counts_by_ending.entry(name).or_default() += 1;
    }
    counts_by_ending
}

/// Polls `done` every 10 ms until it returns true; panics with `what` after [`EVENT_TIMEOUT`].
pub async fn wait_until<F, D>(what: &str, mut done: D)
where
    D: FnMut() -> F,
    F: Future<Output = bool>,
{
    let polling = async {
        while !done().await {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(EVENT_TIMEOUT, polling).await.expect(what);
}

/// Waits until [`SETTLED_CALLS`] consecutive calls, sent to the entries in turn, succeed: after a start, nodes learn
/// only one by one that the others are serving.
pub async fn wait_until_settled(fleet: &Fleet, path: &str, entries: &[SocketAddr]) {
    wait_until("calls that succeed", || async {
        for i in 0..SETTLED_CALLS {
            let entry = entries[i % entries.len()];
            let result = Call::get(entry, path, "").send(&fleet.client).await;
            if result.ending != Ending::Whole {
                return false;
            }
        }
        true
    })
    .await;
}

/// Waits until no target of the fleet has a running or queued call.
pub async fn wait_until_idle(fleet: &Fleet) {
    wait_until("targets without calls", || async {
        for member in fleet.members.values().filter(|m| m.target.is_some()) {
            let counts = member.counts(&fleet.client).await.expect("counts");
            if counts.in_flight + counts.queued > 0 {
                return false;
            }
        }
        true
    })
    .await;
}

/// Applies settings to every target of a service.
pub async fn set_targets(fleet: &Fleet, service: &str, settings: &Settings) {
    for member in fleet.of_service(service) {
        let set = member.set_target(&fleet.client, settings).await;
        set.expect("settings of a target");
    }
}

/// Asserts that no node has counted an invariant breach.
pub async fn assert_no_breaches(fleet: &Fleet) {
    let breaches = fleet.breaches().await.expect("statuses");
    assert_eq!(breaches, Vec::<String>::new());
}

/// Node settings that disable shedding and leave the retry allowance as the only limit on retries.
pub fn allowance_only_settings() -> Value {
    json!({
        "retries": { "edge_ratio": 1.0, "edge_burst": 10_000, "backoff_ms": 1 },
        "admission": { "mode": "static", "initial_limit": 1000, "min_limit": 1, "max_limit": 2000,
            "queue_length": 1000, "level_shedding": false, "deadline_check": false, "cold_start_ms": 0 },
        "routing": { "eject_failures": 1000, "domain_first": false },
    })
}
