//! Calls that must run at most once, sent over a fleet and compared with what its targets counted.

use std::future::Future;
use std::io::Write;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use coltsfootport_rig::chaos;
use coltsfootport_rig::error::RigError;
use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::http::{ClientAnswer, ClientCall};
use coltsfootport_rig::target::{Echo, KEY_HEADER, Settings};
use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::EVENT_TIMEOUT;

/// The node whose target runs the bids of most tests; it is alone in failure domain `a`.
pub const HOME: &str = "bidding-1";

/// A second target of the same service, in failure domain `b`.
pub const OTHER: &str = "bidding-2";

/// An entry in failure domain `b`.
pub const ENTRY_B: &str = "front-1";

/// An entry in failure domain `c`.
pub const ENTRY_C: &str = "front-2";

/// Two targets of bids and two nodes of another service, which serve as entries only; the nodes' settings are patched.
pub fn plan(target: Settings, node: Value) -> FleetPlan {
    let bidding = ServicePlan {
        target,
        ..ServicePlan::new("bidding", &["a", "b"])
    };
    let mut settings = json!({
        // Short enough for the end of a peer to be noticed within a call.
        "limits": {"idle_timeout_ms": 500},
        "admission": {"mode": "off"},
    });
    for (section, fields) in node.as_object().expect("sections") {
        settings[section] = fields.clone();
    }
    FleetPlan {
        services: vec![bidding, ServicePlan::new("front", &["b", "c"])],
        proxied: true,
        node: settings,
        ..FleetPlan::default()
    }
}

/// Looks until `wanted` holds.
pub async fn until<F, W>(what: &str, mut wanted: F)
where
    F: FnMut() -> W,
    W: Future<Output = bool>,
{
    let look = async {
        while !wanted().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let met = timeout(EVENT_TIMEOUT, look).await;
    assert!(met.is_ok(), "{what}: not in time");
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The call ran; this is the key of the sending that ran, as its target saw it.
    Ran { key: String, replayed: bool },
    /// No sending up to this one ran or will run.
    NotRun {
        error: String,
        fresh: Option<String>,
    },
    /// It may have run.
    Unknown { error: String },
    /// No answer came.
    Nothing,
}

impl Told {
    /// What an answer tells.
    pub fn of(answer: &Result<ClientAnswer, RigError>) -> Self {
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => {
                eprintln!("no answer: {e}");
                return Self::Nothing;
            }
        };
        let header = |name: &str| answer.header(name).map(str::to_owned);
        let error = header("coltsfootport-error").unwrap_or_default();
        match answer.header("coltsfootport-outcome") {
            Some("ran") if error.is_empty() => {
                let echo: Echo = serde_json::from_slice(&answer.body).expect("a whole echo");
                let replayed = header("coltsfootport-replayed").is_some();
                Self::Ran {
                    key: echo.key.to_string(),
                    replayed,
                }
            }
            Some("not-run") => Self::NotRun {
                error,
                fresh: header("coltsfootport-token"),
            },
            _ => {
                assert_eq!(header("coltsfootport-token"), None, "a token after {error}");
                Self::Unknown { error }
            }
        }
    }

    /// The error kind, empty where there is none.
    pub fn error(&self) -> &str {
        match self {
            Self::NotRun { error, .. } | Self::Unknown { error } => error,
            Self::Ran { .. } | Self::Nothing => "",
        }
    }

    /// Whether the caller was told that it did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

/// A call with a token, each sending of which has a key of its own at the target.
#[derive(Clone, Debug)]
pub struct Bid {
    key: String,
    token: String,
    sent: u32,
    /// Whether sendings bear their numbers.
    pub numbered: bool,
    /// Whether sendings bear a time limit that can't be read.
    pub malformed: bool,
    /// The deadline of each sending in milliseconds.
    pub deadline_ms: u64,
    /// When the caller gives a sending up and closes its connection.
    pub patience: Duration,
}

impl Bid {
    /// A bid whose token names the current run of `home`, which answers.
    pub async fn at(fleet: &Fleet, home: &str, key: &str) -> Self {
        let token = token(fleet, ENTRY_B, home).await;
        Self::of(key, token)
    }

    /// A bid with a token.
    pub fn of(key: &str, token: String) -> Self {
        Self {
            key: key.to_owned(),
            token,
            sent: 0,
            numbered: true,
            malformed: false,
            deadline_ms: 4000,
            patience: EVENT_TIMEOUT,
        }
    }

    /// The token.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Counts sendings from 1 again, with keys of their own.
    pub fn restart_numbers(&mut self, key: &str) {
        self.key = key.to_owned();
        self.sent = 0;
    }

    /// Sends the bid once more, without waiting for the answer.
    pub fn send(&mut self, fleet: &Fleet, entry: &str) -> JoinHandle<Told> {
        self.sent += 1;
        let addr = fleet.member(entry).addresses.callers;
        let mut call = ClientCall::new(addr, Method::POST, "/bidding/bids");
        let key = format!("{}#{}", self.key, self.sent);
        call.headers
            .insert(KEY_HEADER, key.parse().expect("a plain key"));
        let token = self.token.parse().expect("a plain token");
        call.headers.insert("coltsfootport-token", token);
        call.headers
            .insert("coltsfootport-deadline-ms", self.deadline_ms.into());
        if self.malformed {
            let malformed = "soon".parse().expect("a plain text");
            call.headers.insert("coltsfootport-deadline-ms", malformed);
        }
        if self.numbered {
            call.headers.insert("coltsfootport-try", self.sent.into());
        }
        call.timeout = self.patience;
        let client = fleet.client.clone();
        tokio::spawn(async move { Told::of(&client.send(call).await) })
    }

    /// Sends the bid once more, with something behind it on the same connection, and closes that at once.
    pub fn send_and_leave(&mut self, fleet: &Fleet, entry: &str, behind: &str) {
        self.sent += 1;
        let head = format!(
            "POST /bidding/bids HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n{KEY_HEADER}: {}#{}\r\n\
             coltsfootport-token: {}\r\ncoltsfootport-try: {}\r\n\r\n",
            self.key, self.sent, self.token, self.sent,
        );
        let addr = fleet.member(entry).addresses.callers;
        let mut stream = std::net::TcpStream::connect(addr).expect("a connection");
        stream.write_all(head.as_bytes()).expect("a request");
        stream.write_all(behind.as_bytes()).expect("more");
    }

    /// Sends the bid once more and waits for what is told.
    pub async fn told(&mut self, fleet: &Fleet, entry: &str) -> Told {
        self.send(fleet, entry).await.expect("a sending")
    }

    /// The numbers of the sendings that were started at any target, once for each start.
    pub async fn runs(&self, fleet: &Fleet) -> Vec<u32> {
        let mut runs = Vec::new();
        for counts in fleet.counts("bidding").await.expect("counts") {
            for number in 1..=self.sent {
                let key = format!("{}#{number}", self.key);
                let started = counts.keys.get(key.as_str()).map_or(0, |runs| runs.started);
                runs.extend((0..started).map(|_| number));
            }
        }
        runs
    }

    /// Checks every answer against what the targets have started up to now; `told` holds sendings 1, 2, and so on.
    pub async fn check(&self, fleet: &Fleet, told: &[Told], case: &str) -> Vec<u32> {
        let runs = self.runs(fleet).await;
        assert!(runs.len() <= 1, "{case}: {runs:?} ran, told {told:?}");
        for (told_of, number) in told.iter().zip(1..) {
            let is_true = match told_of {
                Told::Ran { key, .. } => {
                    runs.len() == 1 && *key == format!("{}#{}", self.key, runs[0])
                }
                // Refused for good: neither this sending nor an earlier one. A later one may have run.
                Told::NotRun { .. } => runs.iter().all(|run| *run > number),
                Told::Unknown { .. } | Told::Nothing => true,
            };
            assert!(
                is_true,
                "{case}: sending {number} of {told:?}; {runs:?} ran"
            );
        }
        runs
    }

    /// [`Bid::check`] now and once everything is at rest; also no node counts a breach of its own.
    pub async fn check_at_rest(&self, fleet: &Fleet, told: &[Told], case: &str) -> Vec<u32> {
        self.check(fleet, told, case).await;
        at_rest(fleet).await;
        let breaches = fleet.breaches().await.expect("statuses");
        assert_eq!(breaches, Vec::<String>::new(), "{case}");
        self.check(fleet, told, case).await
    }
}

/// A token of `home` from an entry, or none if that gives none now.
pub async fn try_token(fleet: &Fleet, entry: &str, home: &str) -> Option<String> {
    let addr = fleet.member(entry).addresses.callers;
    let path = "/coltsfootport/tokens?service=bidding&count=16";
    let call = ClientCall::new(addr, Method::POST, path);
    let answer = fleet.client.send(call).await.ok()?;
    let page: Value = serde_json::from_slice(&answer.body).ok()?;
    let tokens = page["tokens"].as_array()?;
    let texts = tokens.iter().filter_map(Value::as_str);
    let mut of_home = texts.filter(|text| is_of(text, home));
    of_home.next().map(str::to_owned)
}

/// A token of the current run of `home`, which `entry` reaches.
pub async fn token(fleet: &Fleet, entry: &str, home: &str) -> String {
    let mut last = Told::Nothing;
    for probe in 0..PROBES {
        // The home itself is asked, since an entry prefers homes of its own failure domain.
        if let Some(token) = try_token(fleet, home, home).await {
            let mut bid = Bid::of(&format!("probe-{probe}"), token);
            last = bid.told(fleet, entry).await;
        }
        if matches!(last, Told::Ran { .. })
            && let Some(token) = try_token(fleet, home, home).await
        {
            return token;
        }
        sleep(PROBE_PAUSE).await;
    }
    panic!("no token of {home} that runs through {entry}: {last:?}");
}

const PROBES: u32 = 400;
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// Whether a token names this home; the seal hides nothing.
fn is_of(token: &str, home: &str) -> bool {
    let buf = URL_SAFE_NO_PAD.decode(token).expect("base64");
    buf.windows(home.len()).any(|part| part == home.as_bytes())
}

/// Waits until nothing is in flight anywhere.
pub async fn at_rest(fleet: &Fleet) {
    let rest = chaos::at_rest(fleet, EVENT_TIMEOUT).await;
    rest.expect("a fleet at rest");
}
