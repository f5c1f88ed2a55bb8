//! Reads the publisher: a list at the start, then one watch after the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::mesh::{Era, Position, Publisher, PublisherError};
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

use super::board::Listing;
use super::listing::read_pages;
use super::source::{Changes, Heard, Source, What};
use crate::clock::SharedClock;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::settings::PublisherSettings;

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
    #[error("the publisher has come back from an older copy")]
    CameBack,
    #[error("the answer is of an earlier era of the publisher")]
    Outdated,
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
            Self::CameBack => "came-back",
            Self::Outdated => "outdated",
            Self::Malformed(_) => "malformed",
        }
    }

    /// The history after our position is not available any more; everything must be listed again.
    fn is_history_gone(&self) -> bool {
        matches!(self, Self::Status(StatusCode::GONE) | Self::CameBack)
    }
}

/// Reads the publisher and passes on what it says.
pub struct StoreReader {
    /// Where and how long.
    pub cfg: PublisherSettings,
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
    /// Reads until it is aborted: a list where no position is known, then what changes.
    pub async fn run(self, mut position: Option<Position>) {
        let mut failures = 0;
        let mut era = position.map_or(Era::default(), |position| position.era);
        loop {
            match self.read(&mut position, &mut era, &mut failures).await {
                Ok(never) => match never {},
                Err(e) if e.is_history_gone() => {
                    info!(self.log, "publisher's history is gone"; "reason" => e.to_string(),
                        "era" => era.0, "revision" => position.map(|position| position.revision));
                    self.metrics.read("gone");
                    position = None;
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

    /// Reads on one connection until something fails; `era` is the latest one that was heard of.
    async fn read(
        &self,
        position: &mut Option<Position>,
        era: &mut Era,
        failures: &mut u32,
    ) -> Result<std::convert::Infallible, FeedError> {
        let mut tx = self.connect().await?;
        let mut flood = Flood::default();
        loop {
            let Some(after) = *position else {
                *position = Some(self.list(&mut tx, era).await?);
                *failures = 0;
                continue;
            };
            let wait = match *failures {
                0 => self.cfg.watch,
                _ => FIRST_LOOK,
            };
            let path = self.publisher.watch_path(after.revision, wait);
            let body = self.fetch(&mut tx, path, wait, era).await?;
            // A revision of before names another change now, whether the publisher has reached it again or not.
            if *era != after.era {
                return Err(FeedError::CameBack);
            }
            let batch = self.publisher.parse_watch(&body)?.with_era(*era);
            let until = batch.position.max(after);
            *position = Some(until);
            *failures = 0;
            let rest = match batch.updates.is_empty() {
                true => Duration::ZERO,
                false => flood.rest(self.clock.now()),
            };
            let changes = Changes { after, until, body };
            self.tell(What::Changes(changes, batch));
            sleep(rest).await;
        }
    }

    /// Lists everything. Pages are read one after the other and may miss what changes meanwhile, so the watch begins at
    /// the revision of the first page.
    async fn list(&self, tx: &mut Sender, era: &mut Era) -> Result<Position, FeedError> {
        let mut listing: Option<Listing> = None;
        let mut after: Option<String> = None;
        for _ in 0..MOST_PAGES {
            let path = self.publisher.list_path(after.as_deref());
            let body = self.fetch(tx, path, Duration::ZERO, era).await?;
            let page = self.publisher.parse_list(&body)?.with_era(*era);
            let listing = listing.get_or_insert_with(|| Listing {
                position: page.position,
                pages: Vec::new(),
            });
            if listing.position.era != *era {
                return Err(FeedError::CameBack);
            }
            listing.pages.push(body);
            after = page.next_page;
            if after.is_none() {
                break;
            }
        }
        let listing = listing.ok_or(FeedError::CameBack)?;
        let position = listing.position;
        let all = read_pages(&*self.publisher, &listing)?;
        info!(self.log, "publisher listed"; "era" => position.era.0, "revision" => position.revision,
            "entries" => all.updates.len());
        self.tell(What::Listed(listing, all));
        Ok(position)
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
        era: &mut Era,
    ) -> Result<Bytes, FeedError> {
        let limit = self.cfg.timeout + wait;
        let header = self.publisher.era_header();
        let answer = timeout(limit, exchange(tx, self.cfg.address, path, header))
            .await
            .map_err(|_| FeedError::Slow)??;
        // An answer that does not tell its era is taken to be of the one that is known.
        let told = answer.era.unwrap_or(*era);
        if told < *era {
            return Err(FeedError::Outdated);
        }
        *era = told;
        match answer.status {
            StatusCode::OK => {
                self.metrics.read("answered");
                Ok(answer.body)
            }
            status => Err(FeedError::Status(status)),
        }
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

/// An answer of the publisher.
struct Answer {
    status: StatusCode,
    /// `None` where it does not tell.
    era: Option<Era>,
    body: Bytes,
}

async fn exchange(
    tx: &mut Sender,
    address: SocketAddr,
    path: String,
    era_header: &str,
) -> Result<Answer, FeedError> {
    let broken = |e: &dyn std::fmt::Display| FeedError::Broken(e.to_string());
    let req = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(|e| broken(&e))?;
    let res = tx.send_request(req).await.map_err(|e| broken(&e))?;
    let status = res.status();
    let era = res.headers().get(era_header);
    let era = era.and_then(|era| era.to_str().ok()?.trim().parse().ok());
    let body = Limited::new(res.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|e| broken(&e))?.to_bytes();
    Ok(Answer {
        status,
        era: era.map(Era),
        body,
    })
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
