//! Callers that pipeline idempotent requests on connections that they keep until the node closes them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{Caller, HOST, RequestOutcome, get_within, key_header};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, sleep_until};

use super::callers::{LoadState, SoakCaller, has_connection_close};
use super::plan::Work;
use super::{Evidence, Key};

/// Prefix of the route of these callers. Most of its requests are short, so that nodes expect that of all.
pub const WORK_PREFIX: &str = "/work/";

/// Service times that a request can ask for, in milliseconds; the last one exceeds the grace period.
pub const WORK_MS: [u64; 6] = [8, 300, 900, 2500, 4000, 8000];

/// Maximum number of pipelining callers per machine.
pub const MAX_PIPELINING: usize = 4;

/// Longest deadline of a request.
pub const MAX_LIMIT: Duration = Duration::from_secs(9);

/// Time after which a caller gives up a request that has neither an answer nor the end of its connection.
const GIVE_UP: Duration = Duration::from_secs(12);

/// Time limit for the rest of a response that has begun.
const REST_LIMIT: Duration = Duration::from_secs(2);

/// One in this many series of requests has a slow one.
const SLOW_INTERVAL: u32 = 25;

/// A request on a kept connection and its outcome.
#[derive(Clone, Debug)]
pub struct KeptRequest {
    /// Id of the request.
    pub id: String,
    /// Index of the machine that received the request.
    pub machine: usize,
    /// Time at which the request was written whole.
    pub sent: Instant,
    /// Time at which the outcome was known.
    pub ended: Instant,
    /// Deadline sent with the request.
    pub limit: Duration,
    /// Whether an earlier request on its connection was unanswered when it was sent.
    pub behind: bool,
    /// Outcome as observed by the caller.
    pub asked: RequestOutcome,
}

impl KeptRequest {
    /// Returns whether it got a complete answer.
    pub fn is_answered(&self) -> bool {
        matches!(&self.asked, RequestOutcome::Answered(answer) if answer.whole)
    }
}

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Time since the request before it.
    pub after: Duration,
    /// Service time, one of [`WORK_MS`].
    pub work_ms: u64,
    /// Deadline of the request.
    pub limit: Duration,
}

/// Returns the path prefix of requests with this service time.
pub fn work_path(ms: u64) -> String {
    format!("{WORK_PREFIX}{ms}/")
}

struct Unanswered {
    id: String,
    sent: Instant,
    limit: Duration,
    behind: bool,
}

/// A connection on which requests are pipelined.
pub struct KeptConnection {
    caller: Caller,
    machine: usize,
    shared: Arc<LoadState>,
    unanswered: VecDeque<Unanswered>,
}

impl KeptConnection {
    /// Opens a connection.
    pub async fn open(
        address: SocketAddr,
        machine: usize,
        shared: &Arc<LoadState>,
    ) -> Option<Self> {
        Some(Self {
            caller: Caller::try_connect(address, Duration::from_secs(1)).await?,
            machine,
            shared: Arc::clone(shared),
            unanswered: VecDeque::new(),
        })
    }

    /// Sends the requests at their times and reads responses meanwhile, until none is due. Returns whether the
    /// connection stays open.
    pub async fn play<I>(&mut self, name: &str, steps: I) -> bool
    where
        I: IntoIterator<Item = Step>,
    {
        let mut steps = steps.into_iter().enumerate().peekable();
        let mut last = tokio::time::Instant::now();
        let mut open = true;
        while (open && steps.peek().is_some()) || !self.unanswered.is_empty() {
            let after = steps.peek().map_or(Duration::ZERO, |(_, step)| step.after);
            let oldest = self.unanswered.front().map_or(last, |one| one.sent.into());
            tokio::select! {
                () = self.caller.wait_for_input() => match self.receive().await {
                    Some(keeps) => open &= keeps,
                    None => return false,
                },
                () = sleep_until(last + after), if open && steps.peek().is_some() => {
                    let Some((number, step)) = steps.next() else { break };
                    last = tokio::time::Instant::now();
                    open &= self.send(format!("{name}s{number}"), step).await;
                }
                () = sleep_until(oldest + GIVE_UP), if !self.unanswered.is_empty() => {
                    self.end_all(&RequestOutcome::Nothing);
                    return false;
                }
            }
        }
        open
    }

    /// Returns whether the request was written whole.
    async fn send(&mut self, id: String, step: Step) -> bool {
        let path = format!("{}x", work_path(step.work_ms));
        let key = key_header(&Key::Lasting.text());
        let request = get_within(step.limit, HOST, &path, &id, &key);
        let written = self.caller.stream.write_all(request.as_bytes()).await;
        if written.is_ok() {
            self.unanswered.push_back(Unanswered {
                id,
                sent: Instant::now(),
                limit: step.limit,
                behind: !self.unanswered.is_empty(),
            });
        }
        written.is_ok()
    }

    /// Reads a response and returns whether the connection is kept after it; `None` if the connection has ended.
    async fn receive(&mut self) -> Option<bool> {
        match self.caller.request("", REST_LIMIT).await {
            RequestOutcome::Answered(answer) if answer.whole => {
                let keeps = !has_connection_close(&answer.head);
                let one = self.unanswered.pop_front()?;
                self.record(one, RequestOutcome::Answered(answer));
                Some(keeps)
            }
            broken => {
                self.end_all(&broken);
                None
            }
        }
    }

    fn end_all(&mut self, outcome: &RequestOutcome) {
        let mut outcome = outcome.clone();
        while let Some(one) = self.unanswered.pop_front() {
            self.record(one, outcome);
            outcome = RequestOutcome::Closed;
        }
    }

    fn record(&self, one: Unanswered, asked: RequestOutcome) {
        let kept = self.shared.kept.lock();
        kept.unwrap_or_else(PoisonError::into_inner)
            .push(KeptRequest {
                id: one.id,
                machine: self.machine,
                sent: one.sent,
                ended: Instant::now(),
                limit: one.limit,
                behind: one.behind,
                asked,
            });
    }
}

impl SoakCaller {
    /// Sends series of pipelined requests until the callers are told to stop.
    pub async fn run_pipelined(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut open = None;
        let mut count = 0;
        while !self.shared.stopping.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(rng.random_range(5..60))).await;
            if open.is_none() {
                open = KeptConnection::open(self.address, self.machine, &self.shared).await;
            }
            let Some(connection) = &mut open else {
                continue;
            };
            count += 1;
            let name = format!("{}x{count}", self.name);
            if !connection.play(&name, series(&mut rng)).await {
                open = None;
            }
        }
    }
}

/// Draws two to four requests. In a slow series the first is slow and the others follow at any time of its run.
fn series(rng: &mut SmallRng) -> Vec<Step> {
    let is_slow = rng.random_range(0..SLOW_INTERVAL) == 0;
    let slow_ms = WORK_MS[rng.random_range(1..WORK_MS.len())];
    let count = rng.random_range(2..5);
    let step = |number: u64| Step {
        after: match (number, is_slow) {
            (0, _) => Duration::ZERO,
            (_, true) => Duration::from_millis(rng.random_range(0..slow_ms / 2)),
            (_, false) => Duration::from_millis(rng.random_range(0..8)),
        },
        work_ms: match (number, is_slow) {
            (0, true) => slow_ms,
            _ => WORK_MS[0],
        },
        limit: match rng.random_range(0..8) {
            0 => Duration::from_millis(rng.random_range(2000..6000)),
            _ => MAX_LIMIT,
        },
    };
    (0..count).map(step).collect()
}

impl Work {
    /// Number of pipelining callers per machine.
    pub(super) fn pipelining_callers(self) -> usize {
        match self {
            Self::Mixed => 1,
            Self::Planned => MAX_PIPELINING,
        }
    }
}

/// Finds requests that got the answer to another one.
pub(super) fn find_mixed_answers(evidence: &Evidence) -> Vec<String> {
    let by_id: HashMap<&str, &KeptRequest> = evidence
        .kept
        .iter()
        .map(|one| (one.id.as_str(), one))
        .collect();
    let mixed = by_id.values().filter(|one| {
        matches!(&one.asked, RequestOutcome::Answered(answer)
            if answer.whole && answer.status == 200 && answer.body != format!("answer to {}", one.id))
    });
    mixed
        .map(|one| format!("{} got the answer to another request", one.id))
        .collect()
}
