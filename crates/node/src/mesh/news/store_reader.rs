//! Reads the publisher: a list at the start, then one watch after the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::mesh::{Publisher, PublisherError, UpdateBatch};
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use slog::{Logger, debug, info};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::source::{Changes, Heard, Source, What};
use crate::clock::SharedClock;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::settings::FeedSettings;

/// Largest answer read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Pages of one list at most; guards against a publisher whose pages never end.
const MOST_PAGES: usize = 4096;

/// First pause after a failure, doubled with each further one. Short, since a configuration must be in force within seconds of
/// the publisher's return; every read is paid for, so it grows.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest such pause of a node that nobody tells of the publisher's return.
pub const ALONE_PAUSE: Duration = Duration::from_millis(400);

/// Longest such pause of a node that follows others. These tell of the return within half a second; its own reads are for the
/// case that they alone are cut off. On a day with an outage of 8 s a fleet of 95 asked 3,657 times with the shorter pause and
/// 2,550 times with this one (one play each).
pub const FOLLOWING_PAUSE: Duration = Duration::from_millis(1600);

/// Wait of the first watch after a failure: none.
///
/// A publisher that is silent answers nothing that was asked before its return, so a whole watch that is asked a moment
/// before it hides the return for its wait, the longest time for an answer and a pause: 3.2 s with the defaults, in which
/// requests are handled by a version that was replaced. With a first look that waits for nothing it is 1 s.
const FIRST_LOOK: Duration = Duration::ZERO;

/// Pause after an answer with changes that came soon after another one, doubled for each further one.
///
/// A fleet that starts writes one entry after the other, and each of them would cost every reader a call: 7,000 calls in the
/// first three seconds of a fleet of 85.
const FIRST_REST: Duration = Duration::from_millis(150);

/// Longest such pause: a quarter of the time in which a change must be in force.
const LONGEST_REST: Duration = Duration::from_millis(500);

/// Time between two changes from which the second one is not a part of the same flood.
const FLOOD_OVER: Duration = Duration::from_millis(1000);

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
enum FeedError {
    #[error("the publisher can't be reached: {0}")]
    Connect(String),
    #[error("the publisher did not answer in time")]
    Slow,
    #[error("the publisher's connection broke: {0}")]
    Broken(String),
    #[error("the publisher answered {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Malformed(#[from] PublisherError),
}

impl FeedError {
    fn label(&self) -> &'static str {
        match self {
            Self::Connect(_) => "unreachable",
            Self::Slow => "slow",
            Self::Broken(_) => "broken",
            Self::Status(_) => "status",
            Self::Malformed(_) => "malformed",
        }
    }

    /// The history after our revision is not available any more; everything must be listed again.
    fn is_history_gone(&self) -> bool {
        matches!(self, Self::Status(StatusCode::GONE))
    }
}

/// Reads the publisher and passes on what it says.
pub struct StoreReader {
    /// Where and how long.
    pub cfg: FeedSettings,
    /// What to ask, and how to read the answers.
    pub publisher: Arc<dyn Publisher>,
    /// Longest pause after a failure, as it is now.
    pub longest_pause: watch::Receiver<Duration>,
    /// Counts reads.
    pub metrics: MeshMetrics,
    /// Time.
    pub clock: SharedClock,
    /// Log.
    pub log: Logger,
    /// Who hears it.
    pub tx: mpsc::UnboundedSender<Heard>,
}

type Sender = SendRequest<Empty<Bytes>>;

impl StoreReader {
    /// Reads until it is aborted: a list where no revision is known, then what changes.
    pub async fn run(self, mut revision: Option<u64>) {
        let mut failures = 0;
        loop {
            match self.read(&mut revision, &mut failures).await {
                Ok(never) => match never {},
                Err(e) if e.is_history_gone() => {
                    info!(self.log, "publisher's history is gone"; "revision" => revision);
                    self.metrics.read("gone");
                    revision = None;
                }
                Err(e) => {
                    // The first failure may be that of one connection only; the publisher is in trouble where the next
                    // attempt fails too, or where it says so itself.
                    failures += 1;
                    debug!(self.log, "read failed"; "reason" => e.to_string());
                    self.metrics.read(e.label());
                    if failures > 1 || !matches!(e, FeedError::Broken(_)) {
                        self.tell(What::Failed);
                    }
                    sleep(self.pause(failures)).await;
                }
            }
        }
    }

    /// Reads on one connection until something fails.
    async fn read(
        &self,
        revision: &mut Option<u64>,
        failures: &mut u32,
    ) -> Result<std::convert::Infallible, FeedError> {
        let mut tx = self.connect().await?;
        let mut flood = Flood::default();
        loop {
            let Some(after) = *revision else {
                *revision = Some(self.list(&mut tx).await?);
                *failures = 0;
                continue;
            };
            let wait = match *failures {
                0 => self.cfg.watch,
                _ => FIRST_LOOK,
            };
            let path = self.publisher.watch_path(after, wait);
            let body = self.fetch(&mut tx, path, wait).await?;
            let batch = self.publisher.read_watch(&body)?;
            let until = batch.revision.max(after);
            *revision = Some(until);
            *failures = 0;
            let rest = match batch.updates.is_empty() {
                true => Duration::ZERO,
                false => flood.rest(self.clock.now()),
            };
            let changes = Changes {
                after,
                revision: until,
                body,
            };
            self.tell(What::Changes(changes, batch));
            sleep(rest).await;
        }
    }

    /// Lists everything. Pages are read one after the other and may miss what changes meanwhile, so the watch begins at
    /// the revision of the first page.
    async fn list(&self, tx: &mut Sender) -> Result<u64, FeedError> {
        let mut all: Option<UpdateBatch> = None;
        let mut after: Option<String> = None;
        for _ in 0..MOST_PAGES {
            let path = self.publisher.list_path(after.as_deref());
            let body = self.fetch(tx, path, Duration::ZERO).await?;
            let mut page = self.publisher.read_list(&body)?;
            after = page.next_page.take();
            match &mut all {
                Some(all) => {
                    all.updates.append(&mut page.updates);
                    all.faults.append(&mut page.faults);
                }
                None => all = Some(page),
            }
            if after.is_none() {
                break;
            }
        }
        let all = all.unwrap_or_default();
        let revision = all.revision;
        info!(self.log, "publisher listed"; "revision" => revision, "entries" => all.updates.len());
        self.tell(What::Listed(all));
        Ok(revision)
    }

    fn pause(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(8);
        (FIRST_PAUSE * (1 << doublings)).min(*self.longest_pause.borrow())
    }

    fn tell(&self, what: What) {
        let from = Source::Publisher;
        // The one who hears it lives as long as the process.
        let _ = self.tx.send(Heard { from, what });
    }

    async fn connect(&self) -> Result<Sender, FeedError> {
        let address = self.cfg.address;
        let connecting = timeout(self.cfg.timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| FeedError::Slow)?;
        let stream = stream.map_err(|e| FeedError::Connect(e.to_string()))?;
        guard_silence(&stream, self.cfg.timeout).map_err(|e| FeedError::Connect(e.to_string()))?;
        let made = handshake(TokioIo::new(stream)).await;
        let (tx, connection) = made.map_err(|e| FeedError::Broken(e.to_string()))?;
        // Ends by itself when the sending half is dropped; its error reaches the sending half too.
        tokio::spawn(async move { drop(connection.await) });
        Ok(tx)
    }

    async fn fetch(
        &self,
        tx: &mut Sender,
        path: String,
        wait: Duration,
    ) -> Result<Bytes, FeedError> {
        let limit = self.cfg.timeout + wait;
        let body = timeout(limit, exchange(tx, self.cfg.address, path))
            .await
            .map_err(|_| FeedError::Slow)??;
        self.metrics.read("answered");
        Ok(body)
    }
}

/// Changes that come one right after the other.
#[derive(Clone, Copy, Debug, Default)]
struct Flood {
    last: Option<Instant>,
    in_a_row: u32,
}

impl Flood {
    /// Pause after changes that have come now; what comes meanwhile is read at once.
    fn rest(&mut self, now: Instant) -> Duration {
        let follows = |last| now.saturating_duration_since(last) < FLOOD_OVER;
        self.in_a_row = match self.last.is_some_and(follows) {
            true => self.in_a_row + 1,
            false => 0,
        };
        self.last = Some(now);
        match self.in_a_row {
            0 => Duration::ZERO,
            n => (FIRST_REST * (1 << (n - 1).min(8))).min(LONGEST_REST),
        }
    }
}

async fn exchange(tx: &mut Sender, address: SocketAddr, path: String) -> Result<Bytes, FeedError> {
    let broken = |e: &dyn std::fmt::Display| FeedError::Broken(e.to_string());
    let req = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(|e| broken(&e))?;
    let res = tx.send_request(req).await.map_err(|e| broken(&e))?;
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|e| broken(&e))?.to_bytes();
    match status {
        StatusCode::OK => Ok(body),
        status => Err(FeedError::Status(status)),
    }
}

/// A connection can go silent without a reset: probes show it.
fn guard_silence(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}
