//! The load of a soak: callers that keep their connections for as long as they are open.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootport_stand_ins::{
    Caller, HOST, RequestOutcome, get, key_header, post, workspace_header,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::machine::CRASHING;
use crate::soak::{Key, Kind, Record};

/// Time limit of every route.
pub const ROUTE_LIMIT: Duration = Duration::from_secs(3);

/// Time beyond it in which the final answer must come; machines of tests are busy.
pub const LATE: Duration = Duration::from_millis(1500);

/// What all callers share.
#[derive(Debug, Default)]
pub struct Shared {
    /// Newest version of the configuration.
    pub version: AtomicU32,
    /// Whether they end.
    pub over: AtomicBool,
    /// What they have seen.
    pub records: Mutex<Vec<Record>>,
}

/// One caller of a machine.
pub struct SoakCaller {
    /// The machine.
    pub machine: usize,
    /// Where its node listens.
    pub address: SocketAddr,
    /// Begins every id, so that ids are unique.
    pub name: String,
    /// Seed of its choices.
    pub seed: u64,
    /// What all callers share.
    pub shared: Arc<Shared>,
}

impl SoakCaller {
    /// Sends requests until the load is over.
    pub async fn run(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut open = None;
        let mut count = 0;
        while !self.shared.over.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(rng.random_range(5..60))).await;
            let Some(mut caller) = take(&mut open, self.address).await else {
                continue;
            };
            count += 1;
            let id = format!("{}x{count}", self.name);
            let version = self.shared.version.load(Ordering::SeqCst);
            let kind = match rng.random_range(0..10) {
                0..5 => Kind::Read,
                5..9 => Kind::Bid,
                _ => Kind::Version(rng.random_range(0..=version)),
            };
            let key = match rng.random_range(0..10) {
                0..7 => Key::Lasting,
                7..9 => Key::OfVersion(version),
                _ => Key::Unknown,
            };
            let sent = Instant::now();
            let asked = caller
                .request(&request(kind, key, &id), ROUTE_LIMIT + LATE)
                .await;
            if matches!(&asked, RequestOutcome::Answered(answer) if answer.whole && !closes(&answer.head))
            {
                open = Some(caller);
            }
            let record = Record {
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

/// A request that crashes each target which runs it, at one machine.
#[derive(Clone, Copy, Debug)]
pub struct CrashingRequest {
    /// The machine.
    pub machine: usize,
    /// Where its node listens.
    pub address: SocketAddr,
    /// Tells it from others of the run.
    pub request: u32,
}

impl CrashingRequest {
    /// Sends one copy of it and notes what becomes of it.
    pub async fn send(self, copy: usize, shared: &Shared) {
        let Some(mut caller) = Caller::try_connect(self.address, Duration::from_secs(1)).await
        else {
            return;
        };
        let kind = Kind::Crashing(self.request);
        let id = format!("{CRASHING}{}x{copy}", self.request);
        let sent = Instant::now();
        let text = request(kind, Key::Lasting, &id);
        let record = Record {
            kind,
            key: Key::Lasting,
            machine: self.machine,
            sent,
            asked: caller.request(&text, ROUTE_LIMIT + LATE).await,
            ended: Instant::now(),
            id,
        };
        let records = shared.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

async fn take(open: &mut Option<Caller>, address: SocketAddr) -> Option<Caller> {
    match open.take() {
        Some(caller) => Some(caller),
        None => Caller::try_connect(address, Duration::from_secs(1)).await,
    }
}

/// A request with its key, and with a name of a workspace that its caller has made up.
fn request(kind: Kind, key: Key, id: &str) -> String {
    let headers = format!("{}{}", key_header(&key.text()), workspace_header("forged"));
    let plain = match kind {
        Kind::Read => get(HOST, "/read/x", id, ""),
        Kind::Bid => post(HOST, "/bid/x", id, "a bid"),
        Kind::Crashing(request) => get(HOST, &format!("/read/{CRASHING}{request}"), id, ""),
        Kind::Version(version) => get(HOST, &format!("/v{version}/x"), id, ""),
    };
    plain.replacen("\r\n", &format!("\r\n{headers}"), 1)
}

fn closes(head: &str) -> bool {
    head.to_ascii_lowercase().contains("connection: close")
}
