//! Load of a soak test: callers that reuse a connection until it is closed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{
    Caller, HOST, RequestOutcome, get, key_header, post, workspace_header,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::long_bodies::{DOWNLOAD_PREFIX, UPLOAD_PREFIX};
use super::machine::CRASHING_MARK;
use crate::soak::{KeptRequest, Key, RequestKind, RequestRecord};

/// Timeout of every route.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Tolerance past [`ROUTE_TIMEOUT`] for the final answer, since test machines are busy.
pub const ANSWER_TOLERANCE: Duration = Duration::from_millis(1500);

/// State shared by all callers.
#[derive(Debug, Default)]
pub struct LoadState {
    /// Newest configuration version.
    pub version: AtomicU32,
    /// Tells the callers to stop.
    pub stopping: AtomicBool,
    /// Number of crowds begun.
    pub crowds: AtomicUsize,
    /// Number of long uploads and downloads begun.
    pub long_bodies: AtomicUsize,
    /// Timeout of the route of pipelining callers in seconds.
    pub work_timeout_s: AtomicU64,
    /// Idle time of callers' connections in seconds.
    pub idle_s: AtomicU64,
    /// Finished requests of all callers.
    pub records: Mutex<Vec<RequestRecord>>,
    /// Finished requests of the callers that pipeline.
    pub kept: Mutex<Vec<KeptRequest>>,
}

/// A caller that sends requests to one machine.
pub struct SoakCaller {
    /// Index of the machine.
    pub machine: usize,
    /// Caller address of the machine's node.
    pub address: SocketAddr,
    /// Prefix of request ids, which makes them unique.
    pub name: String,
    /// Seed of the caller's random numbers.
    pub seed: u64,
    /// State shared by all callers.
    pub shared: Arc<LoadState>,
}

impl SoakCaller {
    /// Sends requests until the callers are told to stop.
    pub async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut open = None;
        let mut count = 0;
        while !self.shared.stopping.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(rng.random_range(5..60))).await;
            let Some(mut caller) = take_or_open(&mut open, self.address).await else {
                continue;
            };
            count += 1;
            let id = format!("{}x{count}", self.name);
            let version = self.shared.version.load(Ordering::SeqCst);
            let kind = match rng.random_range(0..10) {
                0..5 => RequestKind::Read,
                5..9 => RequestKind::Bid,
                _ => RequestKind::Version(rng.random_range(0..=version)),
            };
            let key = match rng.random_range(0..10) {
                0..7 => Key::Lasting,
                7..9 => Key::OfVersion(version),
                _ => Key::Unknown,
            };
            let sent = Instant::now();
            let asked = caller
                .request(&request(kind, key, &id), ROUTE_TIMEOUT + ANSWER_TOLERANCE)
                .await;
            if matches!(&asked, RequestOutcome::Answered(answer) if answer.whole && !has_connection_close(&answer.head))
            {
                open = Some(caller);
            }
            let record = RequestRecord {
                id,
                kind,
                key,
                machine: self.machine,
                sent,
                ended: Instant::now(),
                asked,
            };
            let records = self.shared.records.lock();
            records.unwrap_or_else(PoisonError::into_inner).push(record);
        }
    }
}

/// A request that crashes every target that runs it, sent to one machine.
#[derive(Clone, Copy, Debug)]
pub struct CrashingRequest {
    /// Index of the machine.
    pub machine: usize,
    /// Caller address of the machine's node.
    pub address: SocketAddr,
    /// Number of the crashing request within the run.
    pub request: u32,
}

impl CrashingRequest {
    /// Sends one copy of the request and records its outcome.
    pub async fn send(self, copy: usize, shared: &LoadState) {
        let Some(mut caller) = Caller::try_connect(self.address, Duration::from_secs(1)).await
        else {
            return;
        };
        let kind = RequestKind::Crashing(self.request);
        let id = format!("{CRASHING_MARK}{}x{copy}", self.request);
        let sent = Instant::now();
        let text = request(kind, Key::Lasting, &id);
        let record = RequestRecord {
            kind,
            key: Key::Lasting,
            machine: self.machine,
            sent,
            asked: caller
                .request(&text, ROUTE_TIMEOUT + ANSWER_TOLERANCE)
                .await,
            ended: Instant::now(),
            id,
        };
        let records = shared.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

async fn take_or_open(open: &mut Option<Caller>, address: SocketAddr) -> Option<Caller> {
    match open.take() {
        Some(caller) => Some(caller),
        None => Caller::try_connect(address, Duration::from_secs(1)).await,
    }
}

/// Formats a request with its key and a forged workspace header, which nodes must not pass on. Body and framing of an
/// upload are missing.
pub fn request(kind: RequestKind, key: Key, id: &str) -> String {
    let headers = format!("{}{}", key_header(&key.text()), workspace_header("forged"));
    let plain = match kind {
        RequestKind::Read => get(HOST, "/read/x", id, ""),
        RequestKind::Bid => post(HOST, "/bid/x", id, "a bid"),
        RequestKind::Crashing(request) => {
            get(HOST, &format!("/read/{CRASHING_MARK}{request}"), id, "")
        }
        RequestKind::Version(version) => get(HOST, &format!("/v{version}/x"), id, ""),
        RequestKind::Upload { .. } => {
            get(HOST, &format!("{UPLOAD_PREFIX}{id}"), id, "").replacen("GET", "POST", 1)
        }
        RequestKind::Download => get(HOST, &format!("{DOWNLOAD_PREFIX}{id}"), id, ""),
    };
    plain.replacen("\r\n", &format!("\r\n{headers}"), 1)
}

/// Returns whether the node announces the end of the connection.
pub fn has_connection_close(head: &str) -> bool {
    head.to_ascii_lowercase().contains("connection: close")
}
