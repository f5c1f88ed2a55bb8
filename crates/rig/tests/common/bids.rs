//! Sends calls that must run at most once through a fleet and checks each outcome against the counts of the targets.

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

/// The home of the tokens in most tests: the node whose target runs the bids, and the only node in failure domain `a`.
pub const HOME: &str = "bidding-1";

/// A second node of the same service, in failure domain `b`.
pub const OTHER_HOME: &str = "bidding-2";

/// An entry node in failure domain `b`.
pub const ENTRY_B: &str = "front-1";

/// An entry node in failure domain `c`.
pub const ENTRY_C: &str = "front-2";

/// Plans two nodes of the service `bidding`, and two nodes of another service that act as entries only. The sections
/// in `node` replace or extend the node settings given here.
pub fn plan(target: Settings, node: Value) -> FleetPlan {
    let bidding = ServicePlan {
        target,
        ..ServicePlan::new("bidding", &["a", "b"])
    };
    let mut settings = json!({
        // Short enough that the loss of a peer is detected while a call is in flight.
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

/// Polls `done` every 5 ms until it returns true; panics with `what` after [`EVENT_TIMEOUT`].
pub async fn wait_until<F, D>(what: &str, mut done: D)
where
    D: FnMut() -> F,
    F: Future<Output = bool>,
{
    let polling = async {
        while !done().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let finished = timeout(EVENT_TIMEOUT, polling).await;
    assert!(finished.is_ok(), "timed out waiting: {what}");
}

/// What the answer to an attempt tells the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call ran; `key` is the key of the attempt that ran, as its target received it.
    Ran { key: String, replayed: bool },
    /// Neither this attempt nor an earlier one ran or will run.
    NotRun {
        error: String,
        fresh_token: Option<String>,
    },
    /// The call may have run.
    Unknown { error: String },
    /// No answer was received.
    Nothing,
}

impl Outcome {
    /// Reads the outcome from an answer.
    pub fn from_answer(answer: &Result<ClientAnswer, RigError>) -> Self {
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
                let echo: Echo = serde_json::from_slice(&answer.body).expect("a complete echo");
                let replayed = header("coltsfootport-replayed").is_some();
                Self::Ran {
                    key: echo.key.to_string(),
                    replayed,
                }
            }
            Some("not-run") => Self::NotRun {
                error,
                fresh_token: header("coltsfootport-token"),
            },
            _ => {
                assert_eq!(header("coltsfootport-token"), None, "a token after {error}");
                Self::Unknown { error }
            }
        }
    }

    /// Returns the error kind, or an empty string if there is none.
    pub fn error(&self) -> &str {
        match self {
            Self::NotRun { error, .. } | Self::Unknown { error } => error,
            Self::Ran { .. } | Self::Nothing => "",
        }
    }

    /// Whether the outcome is "not run".
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

/// A call with a token. Each attempt has its own key, so that the counts of a target tell the attempts apart.
#[derive(Clone, Debug)]
pub struct Bid {
    key: String,
    token: String,
    attempts: u32,
    /// Whether attempts carry their number in `coltsfootport-try`.
    pub numbered: bool,
    /// Whether attempts carry a deadline that can't be parsed.
    pub malformed_deadline: bool,
    /// The deadline of each attempt in milliseconds.
    pub deadline_ms: u64,
    /// Time after which the client gives up an attempt and closes its connection.
    pub client_timeout: Duration,
}

impl Bid {
    /// Creates a bid whose token names the current incarnation of `home`, once a probe through [`ENTRY_B`] has run.
    pub async fn for_home(fleet: &Fleet, home: &str, key: &str) -> Self {
        let token = token(fleet, ENTRY_B, home).await;
        Self::with_token(key, token)
    }

    /// Creates a bid with the given token.
    pub fn with_token(key: &str, token: String) -> Self {
        Self {
            key: key.to_owned(),
            token,
            attempts: 0,
            numbered: true,
            malformed_deadline: false,
            deadline_ms: 4000,
            client_timeout: EVENT_TIMEOUT,
        }
    }

    pub fn token(&self) -> &str {
        &self.token
    }

    /// Restarts the attempt numbers at 1, with a new key prefix.
    pub fn restart_numbering(&mut self, key: &str) {
        self.key = key.to_owned();
        self.attempts = 0;
    }

    /// Sends the next attempt without waiting for its answer.
    pub fn send(&mut self, fleet: &Fleet, entry: &str) -> JoinHandle<Outcome> {
        self.attempts += 1;
        let addr = fleet.member(entry).addresses.callers;
        let mut call = ClientCall::new(addr, Method::POST, "/bidding/bids");
        let key = format!("{}#{}", self.key, self.attempts);
        call.headers.insert(
            KEY_HEADER,
            key.parse().expect("a key that is a valid header value"),
        );
        let token = self
            .token
            .parse()
            .expect("a token that is a valid header value");
        call.headers.insert("coltsfootport-token", token);
        call.headers
            .insert("coltsfootport-deadline-ms", self.deadline_ms.into());
        if self.malformed_deadline {
            let malformed = "soon".parse().expect("a valid header value");
            call.headers.insert("coltsfootport-deadline-ms", malformed);
        }
        if self.numbered {
            call.headers
                .insert("coltsfootport-try", self.attempts.into());
        }
        call.timeout = self.client_timeout;
        let client = fleet.client.clone();
        tokio::spawn(async move { Outcome::from_answer(&client.send(call).await) })
    }

    /// Sends the next attempt followed by the bytes of `trailing`, and closes the connection at once.
    pub fn send_and_disconnect(&mut self, fleet: &Fleet, entry: &str, trailing: &str) {
        self.attempts += 1;
        let head = format!(
            "POST /bidding/bids HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n{KEY_HEADER}: {}#{}\r\n\
             coltsfootport-token: {}\r\ncoltsfootport-try: {}\r\n\r\n",
            self.key, self.attempts, self.token, self.attempts,
        );
        let addr = fleet.member(entry).addresses.callers;
        let mut stream = std::net::TcpStream::connect(addr).expect("a connection");
        stream.write_all(head.as_bytes()).expect("a request");
        stream
            .write_all(trailing.as_bytes())
            .expect("the trailing bytes");
    }

    /// Sends the next attempt and waits for its outcome.
    pub async fn send_and_wait(&mut self, fleet: &Fleet, entry: &str) -> Outcome {
        self.send(fleet, entry).await.expect("an attempt")
    }

    /// Returns the numbers of the attempts that targets have started, one entry per start.
    pub async fn runs(&self, fleet: &Fleet) -> Vec<u32> {
        let mut runs = Vec::new();
        for counts in fleet.counts("bidding").await.expect("counts") {
            for number in 1..=self.attempts {
                let key = format!("{}#{number}", self.key);
                let started = counts.keys.get(key.as_str()).map_or(0, |runs| runs.started);
                runs.extend((0..started).map(|_| number));
            }
        }
        runs
    }

    /// Checks the outcomes of attempts 1, 2 and so on against what the targets have started so far. Returns the
    /// numbers of the attempts that ran.
    pub async fn check(&self, fleet: &Fleet, outcomes: &[Outcome], case: &str) -> Vec<u32> {
        let runs = self.runs(fleet).await;
        assert!(
            runs.len() <= 1,
            "{case}: attempts {runs:?} ran, outcomes {outcomes:?}"
        );
        for (outcome, number) in outcomes.iter().zip(1..) {
            let is_consistent = match outcome {
                Outcome::Ran { key, .. } => {
                    runs.len() == 1 && *key == format!("{}#{}", self.key, runs[0])
                }
                // Excludes this attempt and all earlier ones; a later one may have run.
                Outcome::NotRun { .. } => runs.iter().all(|run| *run > number),
                Outcome::Unknown { .. } | Outcome::Nothing => true,
            };
            assert!(
                is_consistent,
                "{case}: outcome of attempt {number} in {outcomes:?}, but attempts {runs:?} ran"
            );
        }
        runs
    }

    /// Runs [`Bid::check`] now and again once the fleet is idle; also asserts that no node counted an invariant
    /// breach.
    pub async fn check_when_idle(
        &self,
        fleet: &Fleet,
        outcomes: &[Outcome],
        case: &str,
    ) -> Vec<u32> {
        self.check(fleet, outcomes, case).await;
        wait_until_idle(fleet).await;
        let breaches = fleet.breaches().await.expect("statuses");
        assert_eq!(breaches, Vec::<String>::new(), "{case}");
        self.check(fleet, outcomes, case).await
    }
}

/// Requests tokens from an entry and returns one that names `home`, or `None` if it gave out none.
pub async fn try_token(fleet: &Fleet, entry: &str, home: &str) -> Option<String> {
    let addr = fleet.member(entry).addresses.callers;
    let path = "/coltsfootport/tokens?service=bidding&count=16";
    let call = ClientCall::new(addr, Method::POST, path);
    let answer = fleet.client.send(call).await.ok()?;
    let page: Value = serde_json::from_slice(&answer.body).ok()?;
    let tokens = page["tokens"].as_array()?;
    let texts = tokens.iter().filter_map(Value::as_str);
    let mut of_home = texts.filter(|text| names_home(text, home));
    of_home.next().map(str::to_owned)
}

/// Returns a token of the current incarnation of `home`, once a probe with such a token has run through `entry`.
pub async fn token(fleet: &Fleet, entry: &str, home: &str) -> String {
    let mut last_outcome = Outcome::Nothing;
    for probe in 0..MAX_PROBES {
        // Requested from the home itself, since an entry prefers homes in its own failure domain.
        if let Some(token) = try_token(fleet, home, home).await {
            let mut bid = Bid::with_token(&format!("probe-{probe}"), token);
            last_outcome = bid.send_and_wait(fleet, entry).await;
        }
        if matches!(last_outcome, Outcome::Ran { .. })
            && let Some(token) = try_token(fleet, home, home).await
        {
            return token;
        }
        sleep(PROBE_INTERVAL).await;
    }
    panic!("no token of {home} that runs through {entry}: {last_outcome:?}");
}

const MAX_PROBES: u32 = 400;
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Whether a token names this home. Tokens are sealed but not encrypted, so the name can be read from their bytes.
fn names_home(token: &str, home: &str) -> bool {
    let buf = URL_SAFE_NO_PAD.decode(token).expect("base64");
    buf.windows(home.len()).any(|part| part == home.as_bytes())
}

/// Waits until no node or target has a call in flight.
pub async fn wait_until_idle(fleet: &Fleet) {
    let idle = chaos::wait_until_idle(fleet, EVENT_TIMEOUT).await;
    idle.expect("an idle fleet");
}
