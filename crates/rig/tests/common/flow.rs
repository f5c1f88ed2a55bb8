//! Calls through a fleet, with a verdict on each ending.

#![allow(dead_code, reason = "each test program uses some of these")]

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

/// Longest wait for something that is sure to come.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Calls in a row that must succeed for a fleet to count as settled.
const SETTLED_CALLS: usize = 30;

/// Characters of an answer that are shown in messages.
const SHOWN: usize = 400;

/// One call of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Entry.
    pub entry: SocketAddr,
    /// Method.
    pub method: Method,
    /// `/{service}/{path}`.
    pub path: String,
    /// The call's `x-rig-key`.
    pub key: String,
    /// Body.
    pub body: Bytes,
    /// Time limit at the system; the client waits a little longer.
    pub deadline: Duration,
}

/// How a call ended for its client.
#[derive(Debug)]
pub struct Told {
    /// The call's key.
    pub key: String,
    /// Its entry.
    pub entry: SocketAddr,
    /// Verdict.
    pub ending: Ending,
    /// The answer, or why there is none.
    pub result: Result<ClientAnswer, RigError>,
}

impl Ask {
    /// A `GET` with a generous deadline.
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

    /// Sends the call and judges its answer.
    pub async fn send(self, client: &Client) -> Told {
        let mut call = ClientCall {
            body: self.body.clone(),
            timeout: self.deadline + PATIENCE,
            ..ClientCall::new(self.entry, self.method, self.path.as_str())
        };
        let headers = &mut call.headers;
        headers.insert("x-rig-key", self.key.parse().expect("a plain key"));
        let deadline_ms = self.deadline.as_millis() as u64;
        headers.insert("coltsfootport-deadline-ms", deadline_ms.into());
        let expected = ExpectedAnswer {
            key: self.key.clone(),
            path: self.path,
            body_crc32: crc32fast::hash(&self.body),
        };
        let result = client.send(call).await;
        Told {
            key: self.key,
            entry: self.entry,
            ending: Ending::of(&result, &expected),
            result,
        }
    }
}

impl Told {
    /// Whether no connection could be made, so that nothing was cut.
    pub fn is_refused_connection(&self) -> bool {
        matches!(&self.result, Err(RigError::Connection(text)) if text.contains("(Connect)"))
    }

    /// The ending with status and error kind, for messages.
    pub fn describe(&self) -> String {
        let detail = match &self.result {
            Ok(answer) => {
                let error = answer.header("coltsfootport-error").unwrap_or_default();
                let body = String::from_utf8_lossy(&answer.body);
                let start: String = body.chars().take(SHOWN).collect();
                format!("{} {error} {start}", answer.status)
            }
            Err(e) => e.to_string(),
        };
        format!("{}: {:?} {detail}", self.key, self.ending)
    }
}

/// Calls that start at equal gaps until the stream is ended.
#[derive(Debug)]
pub struct Stream {
    ending: watch::Sender<bool>,
    calls: JoinHandle<Vec<Told>>,
}

impl Stream {
    /// Sends a `GET` of `path` every `gap` to the entries in turn; keys begin with `name`.
    pub fn start(
        client: &Client,
        name: &str,
        path: &str,
        entries: &[SocketAddr],
        gap: Duration,
    ) -> Self {
        let (ending, ended) = watch::channel(false);
        let (name, path, entries) = (name.to_owned(), path.to_owned(), entries.to_vec());
        let client = client.clone();
        let calls = tokio::spawn(async move {
            let mut calls = JoinSet::new();
            let mut ticks = interval(gap);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
            for (i, entry) in entries.iter().cycle().enumerate() {
                ticks.tick().await;
                if *ended.borrow() {
                    break;
                }
                let ask = Ask::get(*entry, &path, &format!("{name}#{i}"));
                let client = client.clone();
                calls.spawn(async move { ask.send(&client).await });
            }
            calls.join_all().await
        });
        Self { ending, calls }
    }

    /// Starts no more calls and waits for those in flight.
    pub async fn end(self) -> Vec<Told> {
        let _ = self.ending.send(true);
        self.calls.await.expect("the calls of a stream")
    }
}

/// Endings with their numbers, for printing.
pub fn tally(told: &[Told]) -> BTreeMap<String, usize> {
    let mut tally = BTreeMap::new();
    for told in told {
        let name = match told.is_refused_connection() {
            true => "RefusedConnection".to_owned(),
            false => format!("{:?}", told.ending),
        };
        *tally.entry(name).or_default() += 1;
    }
    tally
}

/// Polls until `done` holds.
pub async fn until<F, D>(what: &str, mut done: D)
where
    D: FnMut() -> F,
    F: Future<Output = bool>,
{
    let look = async {
        while !done().await {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, look).await.expect(what);
}

/// Waits until calls in a row succeed at every entry: after a start, nodes hear one by one that the others serve.
pub async fn settled(fleet: &Fleet, path: &str, entries: &[SocketAddr]) {
    until("calls that succeed", || async {
        for i in 0..SETTLED_CALLS {
            let entry = entries[i % entries.len()];
            let told = Ask::get(entry, path, "").send(&fleet.client).await;
            if told.ending != Ending::Whole {
                return false;
            }
        }
        true
    })
    .await;
}

/// Waits until no target of the fleet has a call running or waiting.
pub async fn quiet(fleet: &Fleet) {
    until("targets without calls", || async {
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

/// Sets the behaviour of every target of a service.
pub async fn set_service(fleet: &Fleet, service: &str, settings: &Settings) {
    for member in fleet.of_service(service) {
        let set = member.set_target(&fleet.client, settings).await;
        set.expect("settings of a target");
    }
}

/// Asserts that no node has counted a breach of an invariant.
pub async fn no_breaches(fleet: &Fleet) {
    let breaches = fleet.breaches().await.expect("statuses");
    assert_eq!(breaches, Vec::<String>::new());
}

/// Settings of nodes that neither shed nor bound retries by other means than the allowance.
pub fn unbounded_otherwise() -> Value {
    json!({
        "retries": { "edge_ratio": 1.0, "edge_burst": 10_000, "backoff_ms": 1 },
        "admission": { "mode": "static", "initial_limit": 1000, "min_limit": 1, "max_limit": 2000,
            "queue_length": 1000, "level_shedding": false, "deadline_check": false, "cold_start_ms": 0 },
        "routing": { "eject_failures": 1000, "domain_first": false },
    })
}
